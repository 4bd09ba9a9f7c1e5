"""A runner that says in its answers that it leaves gets no new work.

The platform's log was away when an engine began to leave, so its entry went on
saying that it was ready, and its answers were the only source. Daemons passed
such answers on and sent it new requests 2.3 and 2.5 s later, for nothing of
an answer but its outcome was read; 2.0 s are borne. Lines of the time say that
they went by entries of up to 7.0 s.
"""

from __future__ import annotations

import trio

from tests import telling_fleet

_LEAVES = (b"server-leaving: 1",)
# Within this all that a daemon has sent on is at its runner.
_SETTLED_S = 0.5
_PRESS_S = 2.0
_PER_DAEMON_S = 10.0


class LeavingInAnswersTest(telling_fleet.TellingTestCase):
    daemons = 3
    runners = 3

    def test_daemons_that_were_told_send_it_nothing(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            leaving = fleet.runners[0]
            leaving.lines = _LEAVES
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            late = [a for a in leaving.arrivals if a.at > since + _SETTLED_S]
            self.assertEqual([], late)
            self.assertEqual({200}, {one.status for one in fleet.replies})

        self.run_fleet(scenario)

    def test_an_entry_that_says_ready_does_not_bring_it_back(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            leaving = fleet.runners[0]
            leaving.lines = _LEAVES
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            fleet.put_entry(0, slots=7)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            late = [a for a in leaving.arrivals if a.at > since + _SETTLED_S]
            self.assertEqual([], late)

        self.run_fleet(scenario)

    def test_its_next_process_gets_work(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            runner = fleet.runners[0]
            runner.lines = _LEAVES
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            runner.lines = ()
            fleet.put_entry(0, born_ms=2)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            self.assertTrue([a for a in runner.arrivals if a.at > since])

        self.run_fleet(scenario)

    def test_where_all_leave_callers_are_told_at_once(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            for runner in fleet.runners:
                runner.lines = _LEAVES
            await fleet.send_load(_PER_DAEMON_S, _PRESS_S)
            since = trio.current_time()
            reply = await fleet.daemons[0].ask()
            self.assertEqual(503, reply.status)
            self.assertLess(trio.current_time() - since, _SETTLED_S)

        self.run_fleet(scenario)
