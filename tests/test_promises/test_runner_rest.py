"""A runner that refuses a request with Retry-After is left alone that long."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests import telling_fleet

if TYPE_CHECKING:
    from martenquay_standins.ports import reporting_runner

_BACKOFF_S = 3.0
_REFUSAL = (b"retry-after: 3",)
# Requests in flight at the first refusal may still arrive.
_IN_FLIGHT_S = 0.5
# Refusals allowed within the rest of the backoff.
_MAX_REFUSED = 2
_PER_DAEMON_S = 20.0
# Interval of probes to a runner that does not answer after its backoff.
_PROBE_INTERVAL_S = 0.5


class RunnerBackoffTest(telling_fleet.TellingTestCase):
    daemons = 1
    runners = 2

    def test_an_informed_daemon_sends_it_nothing(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            fleet.runners[0].refusal = _REFUSAL
            await fleet.send_load(_PER_DAEMON_S, 2.5 * _BACKOFF_S)
            self.assertLessEqual(
                _count_max_refused(fleet.runners[0]), _MAX_REFUSED
            )
            self.assertEqual({200}, {one.status for one in fleet.replies})

        self.run_fleet(scenario)

    def test_it_gets_requests_again_after_the_backoff(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            runner = fleet.runners[0]
            runner.refusal = _REFUSAL
            await fleet.send_load(_PER_DAEMON_S, 0.5)
            runner.refusal = None
            await fleet.send_load(_PER_DAEMON_S, 2 * _BACKOFF_S)
            counted_since = trio.current_time() - _BACKOFF_S
            recent = [one for one in runner.arrivals if one.at > counted_since]
            # Probes alone would be fewer.
            self.assertGreater(len(recent), _BACKOFF_S / _PROBE_INTERVAL_S)

        self.run_fleet(scenario)

    def test_one_probe_is_sent_after_the_backoff(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            runner = fleet.runners[0]
            runner.refusal = _REFUSAL
            await fleet.send_load(_PER_DAEMON_S, 2 * _BACKOFF_S + 1.0)
            refused = [one for one in runner.arrivals if one.is_refused]
            # Two at first, then one probe after each backoff.
            self.assertLessEqual(len(refused), 2 + 2)

        self.run_fleet(scenario)

    def test_if_all_runners_back_off_callers_get_a_retry_time(self) -> None:
        async def scenario(fleet: telling_fleet.TellingFleet) -> None:
            for runner in fleet.runners:
                runner.refusal = _REFUSAL
            await fleet.send_load(_PER_DAEMON_S, 0.5)
            fleet.replies.clear()
            before = sum(len(one.arrivals) for one in fleet.runners)
            since = trio.current_time()
            reply = await fleet.daemons[0].ask()
            self.assertLess(trio.current_time() - since, _IN_FLIGHT_S)
            self.assertEqual(503, reply.status)
            retry_after_s = float(reply.headers[b"retry-after"])
            self.assertTrue(
                _BACKOFF_S / 2 < retry_after_s <= _BACKOFF_S, retry_after_s
            )
            after = sum(len(one.arrivals) for one in fleet.runners)
            self.assertEqual(before, after)

        self.run_fleet(scenario)


def _count_max_refused(runner: reporting_runner.ReportingRunner) -> int:
    """Return the largest number of refusals within one backoff."""
    refused = [one.at for one in runner.arrivals if one.is_refused]
    return max(
        sum(at + _IN_FLIGHT_S <= other < at + _BACKOFF_S for other in refused)
        for at in refused
    )
