"""A runner that turns a request away and asks for rest is left alone.

Three of nine engines answered 503, not run, with a time of 3 s after which a
daemon may come back. Each daemon tried another runner for that request and
asked the same one for the next: 3 and 4 requests within 1.2 s, where two are
borne in all 3 s. Both tries of every third request went to resting engines and
its caller was refused, beside six engines that were well: of 45 attempts that
were turned away in 4 s eleven were the second of a request. The time was read
nowhere: a refusal of what has not run was forgotten with its request, and all
nine engines were considered for the next. One daemon sent 28 here in 3 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests import telling_fleet

if TYPE_CHECKING:
    from martenquay_standins.ports import reporting_runner

_REST_S = 3.0
_RESTS = (b"retry-after: 3",)
# What is under way when a runner first asks for rest may still come.
_UNDER_WAY_S = 0.5
# What is borne between then and the end of the time.
_MOST = 2
_PER_DAEMON_S = 20.0
# A runner whose rest is over and that does not answer is tried so often.
_TRIAL_S = 0.5


class RunnerRestTest(telling_fleet.TellingTestCase):
    daemons = 1
    runners = 2

    def test_a_daemon_that_was_told_keeps_away(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            fleet.runners[0].refusal = _RESTS
            await fleet.send_load(_PER_DAEMON_S, 2.5 * _REST_S)
            self.assertLessEqual(_count_most(fleet.runners[0]), _MOST)
            self.assertEqual({200}, {one.status for one in fleet.replies})

        self.run_fleet(scenario)

    def test_it_gets_work_again_after_the_time(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            runner = fleet.runners[0]
            runner.refusal = _RESTS
            await fleet.send_load(_PER_DAEMON_S, 0.5)
            runner.refusal = None
            await fleet.send_load(_PER_DAEMON_S, 2 * _REST_S)
            last = trio.current_time() - _REST_S
            recent = [one for one in runner.arrivals if one.at > last]
            # More than the requests that only try whether it takes one.
            self.assertGreater(len(recent), _REST_S / _TRIAL_S)

        self.run_fleet(scenario)

    def test_after_the_time_one_request_goes_first(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            runner = fleet.runners[0]
            runner.refusal = _RESTS
            await fleet.send_load(_PER_DAEMON_S, 2 * _REST_S + 1.0)
            refused = [one for one in runner.arrivals if one.is_refused]
            # The first ones, and one each time that the rest is over.
            self.assertLessEqual(len(refused), 2 + 2)

        self.run_fleet(scenario)

    def test_where_all_rest_callers_are_told_when_to_come_back(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            for runner in fleet.runners:
                runner.refusal = _RESTS
            await fleet.send_load(_PER_DAEMON_S, 0.5)
            fleet.replies.clear()
            before = sum(len(one.arrivals) for one in fleet.runners)
            since = trio.current_time()
            reply = await fleet.daemons[0].ask()
            self.assertLess(trio.current_time() - since, _UNDER_WAY_S)
            self.assertEqual(503, reply.status)
            left_s = float(reply.headers[b"retry-after"])
            self.assertTrue(_REST_S / 2 < left_s <= _REST_S, left_s)
            after = sum(len(one.arrivals) for one in fleet.runners)
            self.assertEqual(before, after)

        self.run_fleet(scenario)


def _count_most(runner: reporting_runner.ReportingRunner) -> int:
    """Return the most requests that came while one time was to be kept."""
    refused = [one.at for one in runner.arrivals if one.is_refused]
    return max(
        sum(at + _UNDER_WAY_S <= other < at + _REST_S for other in refused)
        for at in refused
    )
