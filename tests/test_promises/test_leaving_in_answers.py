"""A runner that reports in its answers that it drains gets no new requests."""

from __future__ import annotations

import trio

from tests import telling_fleet

_DRAINING = (b"server-leaving: 1",)
# Time for requests in flight to reach their runners.
_SETTLED_S = 0.5
_LOAD_S = 2.0
_PER_DAEMON_S = 10.0


class LeavingInAnswersTest(telling_fleet.TellingTestCase):
    daemons = 3
    runners = 3

    def test_informed_daemons_send_it_nothing(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            draining = fleet.runners[0]
            draining.lines = _DRAINING
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            late = [a for a in draining.arrivals if a.at > since + _SETTLED_S]
            self.assertEqual([], late)
            self.assertEqual({200}, {one.status for one in fleet.replies})

        self.run_fleet(scenario)

    def test_an_entry_that_reports_it_ready_does_not_readmit_it(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            draining = fleet.runners[0]
            draining.lines = _DRAINING
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            fleet.put_entry(0, slots=7)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            late = [a for a in draining.arrivals if a.at > since + _SETTLED_S]
            self.assertEqual([], late)

        self.run_fleet(scenario)

    def test_its_next_process_gets_requests(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            runner = fleet.runners[0]
            runner.lines = _DRAINING
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            runner.lines = ()
            fleet.put_entry(0, born_ms=2)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            self.assertTrue([a for a in runner.arrivals if a.at > since])

        self.run_fleet(scenario)

    def test_if_all_runners_drain_callers_are_refused_at_once(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            for runner in fleet.runners:
                runner.lines = _DRAINING
            await fleet.send_load(_PER_DAEMON_S, _LOAD_S)
            since = trio.current_time()
            reply = await fleet.daemons[0].ask()
            self.assertEqual(503, reply.status)
            self.assertLess(trio.current_time() - since, _SETTLED_S)

        self.run_fleet(scenario)
