"""All daemons together keep the request rate that a runner asks for.

A limit kept by each daemon on its own would be exceeded by their sum.
"""

from __future__ import annotations

import trio

from tests import telling_fleet

_DAEMONS = 6
_RUNNERS = 3
_LIMIT_PER_S = 1.0
_WINDOW_S = 4.0
# Requests allowed within the window.
_MAX_REQUESTS = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
# Time for a reported limit to reach all daemons.
_PROPAGATION_S = 3.0
_PER_DAEMON_S = 8.0


class RunnerLimitTest(telling_fleet.TellingTestCase):
    daemons = _DAEMONS
    runners = _RUNNERS

    def test_all_daemons_together_keep_the_limit(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            limited = fleet.runners[0]
            limited.lines = (b"server-limit: 1",)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _PROPAGATION_S + 3 * _WINDOW_S)
            max_count = limited.find_peak_count(
                _WINDOW_S, since + _PROPAGATION_S
            )
            self.assertLessEqual(max_count, _MAX_REQUESTS)
            # A limited runner must still get requests.
            self.assertGreater(max_count, 0)

        self.run_fleet(scenario)

    def test_other_runners_serve_the_excess(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            fleet.runners[0].lines = (b"server-limit: 1",)
            await fleet.send_load(_PER_DAEMON_S, _PROPAGATION_S)
            statuses = {reply.status for reply in fleet.replies}
            self.assertEqual({200}, statuses)

        self.run_fleet(scenario)

    def test_it_gets_its_share_again_without_a_limit(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            limited = fleet.runners[0]
            limited.lines = (b"server-limit: 1",)
            await fleet.send_load(_PER_DAEMON_S, _PROPAGATION_S)
            limited.lines = ()
            await fleet.send_load(_PER_DAEMON_S, 2 * _PROPAGATION_S)
            counted_since = trio.current_time() - _PROPAGATION_S
            counts = [
                sum(arrival.at > counted_since for arrival in runner.arrivals)
                for runner in fleet.runners
            ]
            # Placement is random, so a shorter count would vary too much.
            self.assertGreater(counts[0], sum(counts) / _RUNNERS / 2)

        self.run_fleet(scenario)
