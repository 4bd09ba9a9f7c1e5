"""Limits on a runner's silence, and probes of silent runners."""

from __future__ import annotations

from unittest import mock

import trio

from martenquay_daemon.engines import placer
from martenquay_daemon.forwarding import silence
from tests import clocked
from tests import serving_builders as builders

_LIMITS = silence.SilenceLimits(first_probe_s=0.3, next_probe_s=0.3)


class _Connection:
    """The attributes of a RunnerConnection that are read."""

    def __init__(self) -> None:
        self.last_activity_at = trio.current_time()
        self.last_progress_at = self.last_activity_at
        self.has_response_head = False
        self.has_first_event = False


async def _never_unreachable(connection: _Connection, address: str) -> bool:
    del connection, address
    return False


class SilenceTest(clocked.ClockedTestCase):
    def _wait(
        self, limits: silence.SilenceLimits, *, has_first_event: bool
    ) -> float:
        """Return the silence after which a reachable runner is abandoned."""
        took: list[float] = []

        async def scenario() -> None:
            connection = _Connection()
            connection.has_first_event = has_first_event
            placement = placer.Placement(builders.build_runner(), 0.0, 0, 1)
            with mock.patch.object(
                silence, "_is_unreachable", _never_unreachable
            ):
                await silence.wait_until_gone(connection, placement, limits)
            took.append(trio.current_time() - connection.last_activity_at)

        self.run_clocked(scenario)
        return took[0]

    def test_silence_of_a_reachable_runner_has_a_limit(
        self,
    ) -> None:
        limits = silence.SilenceLimits(0.3, 0.3, 4.0, 2.0, lambda: True)
        self.assertAlmostEqual(4.0, self._wait(limits, has_first_event=False))
        self.assertAlmostEqual(2.0, self._wait(limits, has_first_event=True))

    def test_silence_alone_ends_no_request_that_may_not_move(
        self,
    ) -> None:
        clock = trio.current_time
        limits = silence.SilenceLimits(
            0.3, 0.3, 4.0, 2.0, lambda: clock() >= 7.0
        )
        took_s = self._wait(limits, has_first_event=True)
        self.assertGreaterEqual(took_s, 7.0)
        self.assertLess(took_s, 7.5)

    def test_bytes_that_arrive_during_a_failed_probe_count(self) -> None:
        async def scenario() -> None:
            connection = _Connection()
            placement = placer.Placement(builders.build_runner(), 0.0, 0, 1)
            probed_times: list[float] = []

            async def probe(probed: _Connection, address: str) -> bool:
                del probed, address
                await trio.sleep(0.2)
                probed_times.append(trio.current_time())
                if len(probed_times) == 1:
                    connection.last_activity_at = trio.current_time() - 0.1
                return True

            with mock.patch.object(silence, "_is_unreachable", probe):
                await silence.wait_until_gone(connection, placement, _LIMITS)
            self.assertEqual(2, len(probed_times))

        self.run_clocked(scenario)
