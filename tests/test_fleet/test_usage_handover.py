"""A daemon that becomes a hub knows which zones have told it their usage.

A hub that held the duties was stopped in a series of planned stops. Its
successor reported the usage window that had just ended 1.4 s later, with 650 of
920 requests: its own zone's were missing. What it had last heard of that zone
was an ordinary daemon's report, which leaves usage out, and it took "no counts"
for a count of none and the zone for done.
"""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import hub, messages, view, zones
from tests import clocked
from tests import serving_builders as builders

_WINDOW = 7
_FACTS = hub.HubFacts(3, 0, 0, 0, 0, messages.NO_RUNNER_REPORTS)
_SILENT_S = 2.0


class UsageHandoverTest(clocked.ClockedTestCase):
    def _report(self, *, to_holder: bool) -> messages.FleetReport:
        """Return what a hub tells a daemon of its zone in the next window."""
        now = trio.current_time()
        reporter = hub.ZoneHub(zones.ZoneTable())
        fields = {"window": _WINDOW + 1, "begun": {_WINDOW: {"florists": 9}}}
        reporter.set_own_digest(builders.build_digest(**fields), now)
        lease = messages.LeaseStatus(1, 1, 3000) if to_holder else None
        listener = builders.build_digest(
            member="entry-3.aa",
            instance="entry-3",
            address="127.0.0.1:7003",
            window=_WINDOW + 1,
            lease=lease,
        )
        reporter.take(listener, now)
        reports = reporter.create_reports(_FACTS, now, _SILENT_S)
        return reports["127.0.0.1:7003"]

    def _hear(self, report: messages.FleetReport) -> view.FleetView:
        fleet = view.FleetView("entry-3")
        fleet.is_mesh = False
        for summary in report.zones:
            fleet.zones.take(summary, {}, trio.current_time())
        return fleet

    def test_a_zone_whose_counts_were_left_out_is_not_done(self) -> None:
        async def scenario() -> None:
            fleet = self._hear(self._report(to_holder=False))
            self.assertEqual({}, fleet.sum_started(_WINDOW))
            self.assertFalse(fleet.has_closed(_WINDOW))

        self.run_clocked(scenario)

    def test_a_hub_that_few_have_told_yet_does_not_take_its_zone_for_done(
        self,
    ) -> None:
        """In the same series the next hub had heard 3 of its zone's 21."""

        async def scenario() -> None:
            fleet = self._hear(self._report(to_holder=True))
            fleet.note_listed({f"entry-{number}" for number in range(21)})
            self.assertFalse(fleet.has_closed(_WINDOW))

        self.run_clocked(scenario)

    def test_a_zone_whose_counts_were_told_is_done(self) -> None:
        async def scenario() -> None:
            fleet = self._hear(self._report(to_holder=True))
            self.assertEqual({"florists": 9}, fleet.sum_started(_WINDOW))
            self.assertTrue(fleet.has_closed(_WINDOW))

        self.run_clocked(scenario)
