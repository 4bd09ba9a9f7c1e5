"""Daemons that do not follow the log get rollout orders from a hub."""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import hub, messages, zones
from tests import clocked
from tests import serving_builders as builders

_HUB_STATE = hub.HubState(3, 0, 0, 0, 0, messages.NO_RUNNER_REPORTS)
_SILENT_S = 2.0
_ORDER = messages.RolloutOrderEntry("model", "v2", 12.0, 7)


class OrderCopyTest(clocked.ClockedTestCase):
    def test_a_hub_reports_the_rollout_orders_that_it_has_read(self) -> None:
        async def scenario() -> None:
            now = trio.current_time()
            zone_hub = hub.ZoneHub(zones.ZoneTable())
            zone_hub.set_own_digest(builders.build_digest(orders=[_ORDER]), now)
            subscriber = builders.build_digest(
                member="entry-3.aa",
                instance="entry-3",
                address="127.0.0.1:7003",
            )
            zone_hub.apply_digest(subscriber, now)
            reports = zone_hub.create_reports(_HUB_STATE, now, _SILENT_S)
            raw = messages.encode_message(reports["127.0.0.1:7003"])
            self.assertEqual([_ORDER], messages.decode_message(raw).orders)

        self.run_clocked(scenario)
