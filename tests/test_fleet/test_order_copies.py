"""Daemons for which a hub reads the log hear of operators' orders from it."""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import hub, messages, zones
from tests import clocked
from tests import serving_builders as builders

_FACTS = hub.HubFacts(3, 0, 0, 0, 0, messages.NO_RUNNER_REPORTS)
_SILENT_S = 2.0
_ORDER = messages.RolloutOrderEntry("model", "v2", 12.0, 7)


class OrderCopyTest(clocked.ClockedTestCase):
    def test_a_hub_tells_its_zone_of_the_orders_that_it_has_read(self) -> None:
        async def scenario() -> None:
            now = trio.current_time()
            reporter = hub.ZoneHub(zones.ZoneTable())
            reporter.set_own_digest(builders.build_digest(orders=[_ORDER]), now)
            listener = builders.build_digest(
                member="entry-3.aa",
                instance="entry-3",
                address="127.0.0.1:7003",
            )
            reporter.take(listener, now)
            reports = reporter.create_reports(_FACTS, now, _SILENT_S)
            raw = messages.encode_message(reports["127.0.0.1:7003"])
            self.assertEqual([_ORDER], messages.decode_message(raw).orders)

        self.run_clocked(scenario)
