"""A planned stop gives what is in progress all of the grace time."""

from __future__ import annotations

import types
from unittest import mock

import trio

from martenquay_daemon import gateway
from tests import clocked


class _Listener:
    """Caller connections that are busy until a time.

    Attributes:
        is_stopped: No more connections are accepted.
    """

    def __init__(self, busy_s: float) -> None:
        self.is_stopped = False
        self._busy_until = trio.current_time() + busy_s

    def stop_accepting(self) -> None:
        """Accept no more."""
        self.is_stopped = True

    def count_busy(self) -> int:
        """Return one until the time has come."""
        return int(trio.current_time() < self._busy_until)


def _build_watch(grace_s: float) -> types.SimpleNamespace:
    bounds = types.SimpleNamespace(grace_s=grace_s)
    return types.SimpleNamespace(settings=types.SimpleNamespace(bounds=bounds))


class PlannedStopTest(clocked.ClockedTestCase):
    def test_a_stop_that_cannot_be_announced_waits_for_requests(self) -> None:
        async def scenario() -> None:
            listener = _Listener(8.0)
            parts = mock.Mock(listener=listener)
            parts.begin_stop.side_effect = ValueError("no lease to hand over")
            started_at = trio.current_time()
            with mock.patch.object(gateway, "_LOG") as log:
                await gateway._stop(_build_watch(20.0), parts, started_at)
            self.assertTrue(listener.is_stopped)
            self.assertEqual(0, listener.count_busy())
            self.assertLess(trio.current_time() - started_at, 8.5)
            lines = [call.args[0] for call in log.write.call_args_list]
            self.assertIn("no lease to hand over", "".join(lines))

        self.run_clocked(scenario)

    def _stop(self, first_s: float, then_s: float, age_s: float = 0.0) -> float:
        """Return how long a stop takes whose grace time changes at 4 s.

        Its signal came `age_s` before it begins.
        """
        took: list[float] = []

        async def scenario() -> None:
            watch = _build_watch(first_s)

            async def change() -> None:
                await trio.sleep(4.0)
                watch.settings = _build_watch(then_s).settings

            parts = mock.Mock(listener=_Listener(100.0))
            parts.begin_stop = mock.AsyncMock()
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                await gateway._stop(watch, parts, started_at - age_s)
            took.append(trio.current_time() - started_at)

        self.run_clocked(scenario)
        return took[0]

    def test_a_grace_time_that_is_lengthened_counts(self) -> None:
        took_s = self._stop(6.0, 12.0)
        self.assertGreater(took_s, 11.0)
        self.assertLess(took_s, 12.0)

    def test_the_grace_time_counts_from_the_signal(self) -> None:
        # A daemon that was asked to stop while it started would be killed
        # with its last requests.
        took_s = self._stop(8.0, 8.0, age_s=3.0)
        self.assertGreater(took_s, 4.0)
        self.assertLess(took_s, 5.0)

    def test_a_grace_time_that_is_shortened_counts(self) -> None:
        took_s = self._stop(12.0, 6.0)
        self.assertGreater(took_s, 5.0)
        self.assertLess(took_s, 6.0)
