"""A daemon that becomes a hub closes no usage window without all counts.

Reports to ordinary daemons leave counts out; a new lease holder that took these
for counts of zero would report too few requests.
"""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import hub, messages, view, zones
from tests import clocked
from tests import serving_builders as builders

_WINDOW = 7
_HUB_STATE = hub.HubState(3, 0, 0, 0, 0, messages.NO_RUNNER_REPORTS)
_SILENT_S = 2.0


class UsageHandoverTest(clocked.ClockedTestCase):
    def _create_report(self, *, to_lease_holder: bool) -> messages.FleetReport:
        """Return a hub's report to a daemon of its zone in the next window."""
        now = trio.current_time()
        zone_hub = hub.ZoneHub(zones.ZoneTable())
        fields = {"window": _WINDOW + 1, "begun": {_WINDOW: {"florists": 9}}}
        zone_hub.set_own_digest(builders.build_digest(**fields), now)
        lease = messages.LeaseStatus(1, 1, 3000) if to_lease_holder else None
        subscriber = builders.build_digest(
            member="entry-3.aa",
            instance="entry-3",
            address="127.0.0.1:7003",
            window=_WINDOW + 1,
            lease=lease,
        )
        zone_hub.apply_digest(subscriber, now)
        reports = zone_hub.create_reports(_HUB_STATE, now, _SILENT_S)
        return reports["127.0.0.1:7003"]

    def _apply_report(self, report: messages.FleetReport) -> view.FleetView:
        fleet = view.FleetView("entry-3")
        fleet.is_mesh = False
        for summary in report.zones:
            fleet.zones.apply_summary(summary, {}, trio.current_time())
        return fleet

    def test_a_zone_whose_counts_were_left_out_is_not_closed(self) -> None:
        async def scenario() -> None:
            fleet = self._apply_report(
                self._create_report(to_lease_holder=False)
            )
            self.assertEqual({}, fleet.sum_started(_WINDOW))
            self.assertFalse(fleet.has_closed(_WINDOW))

        self.run_clocked(scenario)

    def test_a_new_hub_does_not_close_a_window_with_digests_of_few_daemons(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = self._apply_report(
                self._create_report(to_lease_holder=True)
            )
            fleet.note_listed({f"entry-{number}" for number in range(21)})
            self.assertFalse(fleet.has_closed(_WINDOW))

        self.run_clocked(scenario)

    def test_a_zone_whose_counts_were_reported_is_closed(self) -> None:
        async def scenario() -> None:
            fleet = self._apply_report(
                self._create_report(to_lease_holder=True)
            )
            self.assertEqual({"florists": 9}, fleet.sum_started(_WINDOW))
            self.assertTrue(fleet.has_closed(_WINDOW))

        self.run_clocked(scenario)
