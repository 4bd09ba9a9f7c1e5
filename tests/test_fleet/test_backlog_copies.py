"""A hub reports the backlog of all daemons but the receiver, once."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import hub, messages, zones
from martenquay_daemon.overload import messages as overload
from tests import serving_builders as builders

_HUB_STATE = hub.HubState(3, 0, 0, 0, 0, messages.NO_RUNNER_REPORTS)
_SILENT_S = 2.0


def _build_backlog(requests: int) -> overload.BacklogTable:
    entry = overload.BacklogEntry(requests, 100 * requests, 50 * requests)
    return {"model": {1: entry}}


class BacklogCopiesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        known = zones.ZoneTable()
        foreign = builders.build_summary(zone="b", backlog=_build_backlog(8))
        known.apply_summary(foreign, {}, 0.0)
        self.hub = hub.ZoneHub(known)
        for number, requests in ((1, 1), (2, 2), (3, 4)):
            digest = builders.build_digest(
                member=f"entry-{number}.aa",
                instance=f"entry-{number}",
                zone="a",
                address=f"127.0.0.1:{number}",
                backlog=_build_backlog(requests),
            )
            if number == 1:
                self.hub.set_own_digest(digest, 0.0)
            else:
                self.hub.apply_digest(digest, 0.0)

    def test_each_receiver_gets_what_it_does_not_know_itself(self) -> None:
        """Its own requests would be counted twice otherwise."""
        reports = self.hub.create_reports(_HUB_STATE, 0.0, _SILENT_S)
        found = {
            address: report.backlog["model"][1].requests
            for address, report in reports.items()
        }
        self.assertEqual(
            {"127.0.0.1:1": 14, "127.0.0.1:2": 13, "127.0.0.1:3": 11}, found
        )

    def test_zones_are_told_the_whole_zone_through_hubs(self) -> None:
        exchange = self.hub.create_exchange(_HUB_STATE, 0.0, _SILENT_S)
        self.assertEqual(7, exchange.summary.backlog["model"][1].requests)

    def test_a_report_survives_encoding_and_has_the_backlog_once(self) -> None:
        """Summaries with it as well would cost bytes at each daemon."""
        reports = self.hub.create_reports(_HUB_STATE, 0.0, _SILENT_S)
        report = reports["127.0.0.1:2"]
        decoded = messages.decode_message(messages.encode_message(report))
        assert isinstance(decoded, messages.FleetReport), "as encoded"
        self.assertEqual(report.backlog, decoded.backlog)
        self.assertEqual([{}, {}], [s.backlog for s in decoded.zones])

    def test_the_last_figures_of_a_silent_zone_do_not_count(self) -> None:
        """Requests were rejected for a queue of a zone that was cut off."""
        later = _SILENT_S + 1.0
        reports = self.hub.create_reports(_HUB_STATE, later, 2 * later)
        self.assertEqual(14, _count_requests(reports["127.0.0.1:1"]))
        reports = self.hub.create_reports(_HUB_STATE, later, _SILENT_S)
        self.assertEqual(0, _count_requests(reports["127.0.0.1:1"]))


def _count_requests(report: messages.FleetReport) -> int:
    entries = report.backlog.get("model", {}).values()
    return sum(entry.requests for entry in entries)
