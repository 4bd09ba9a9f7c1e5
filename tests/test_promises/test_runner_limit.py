"""A runner that names a limit gets no more from all daemons together.

An engine named a limit of 1 request a second in its answers. It got 12
requests in 4 s from eight daemons that it had told so, 41 in 20 s, as many as
its neighbours which had named none; 11 in 4 s are borne. No daemon read what
the answers said: here 66 came in 4 s, with no line about it in any log. Nor
would it do that each daemon keeps the limit for itself, for the runner counts
all of them together.
"""

from __future__ import annotations

import trio

from tests import telling_fleet

_DAEMONS = 6
_RUNNERS = 3
_LIMIT_PER_S = 1.0
_WINDOW_S = 4.0
# What is borne: one and a half times the limit, and five requests.
_MOST = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
# Within this all daemons in touch go by what they were told.
_CONTACT_S = 3.0
_PER_DAEMON_S = 8.0


class RunnerLimitTest(telling_fleet.TellingTestCase):
    daemons = _DAEMONS
    runners = _RUNNERS

    def test_the_sum_over_all_daemons_keeps_the_limit(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            limited = fleet.runners[0]
            limited.lines = (b"server-limit: 1",)
            since = trio.current_time()
            await fleet.send_load(_PER_DAEMON_S, _CONTACT_S + 3 * _WINDOW_S)
            most = limited.find_peak_count(_WINDOW_S, since + _CONTACT_S)
            self.assertLessEqual(most, _MOST)
            # It is not given up either.
            self.assertGreater(most, 0)

        self.run_fleet(scenario)

    def test_others_serve_what_it_does_not_take(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            fleet.runners[0].lines = (b"server-limit: 1",)
            await fleet.send_load(_PER_DAEMON_S, _CONTACT_S)
            statuses = {reply.status for reply in fleet.replies}
            self.assertEqual({200}, statuses)

        self.run_fleet(scenario)

    def test_it_gets_its_part_again_once_it_names_no_limit(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            limited = fleet.runners[0]
            limited.lines = (b"server-limit: 1",)
            await fleet.send_load(_PER_DAEMON_S, _CONTACT_S)
            limited.lines = ()
            await fleet.send_load(_PER_DAEMON_S, 2 * _CONTACT_S)
            last = trio.current_time() - _CONTACT_S
            counts = [
                sum(arrival.at > last for arrival in runner.arrivals)
                for runner in fleet.runners
            ]
            # One second would say little: daemons choose by chance.
            self.assertGreater(counts[0], sum(counts) / _RUNNERS / 2)

        self.run_fleet(scenario)
