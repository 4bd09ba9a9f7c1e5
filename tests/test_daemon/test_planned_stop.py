"""A planned stop lets requests in progress use the whole grace time."""

from __future__ import annotations

import types
from unittest import mock

import trio

from martenquay_daemon import gateway
from tests import clocked


class _FakeListener:
    """Fake listener whose connections are busy for a while.

    Attributes:
        is_stopped: Whether it has stopped accepting connections.
        refused_at: When the requests that had not arrived were first refused,
            on trio's clock; None before.
    """

    def __init__(self, busy_s: float) -> None:
        self.is_stopped = False
        self.refused_at: float | None = None
        self._busy_until = trio.current_time() + busy_s

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        self.is_stopped = True

    def refuse_unfinished(self) -> None:
        """Note when the requests that have not arrived are refused."""
        assert self.is_stopped, "connections are still accepted"
        self.refused_at = self.refused_at or trio.current_time()

    def count_busy(self) -> int:
        """Return 1 while connections are busy, then 0."""
        return int(trio.current_time() < self._busy_until)


def _build_watch(grace_s: float) -> types.SimpleNamespace:
    bounds = types.SimpleNamespace(grace_s=grace_s)
    return types.SimpleNamespace(settings=types.SimpleNamespace(bounds=bounds))


class PlannedStopTest(clocked.ClockedTestCase):
    def test_a_stop_drains_although_announcing_it_failed(self) -> None:
        async def scenario() -> None:
            listener = _FakeListener(8.0)
            parts = mock.Mock(listener=listener, count_busy=listener.count_busy)
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

    def _find_refusal(self, grace_s: float) -> float:
        """Return when in a stop unfinished requests are refused, in seconds."""
        found: list[float] = []

        async def scenario() -> None:
            listener = _FakeListener(100.0)
            parts = mock.Mock(listener=listener, count_busy=listener.count_busy)
            parts.begin_stop = mock.AsyncMock()
            started_at = trio.current_time()
            await gateway._stop(_build_watch(grace_s), parts, started_at)
            found.append((listener.refused_at or 0.0) - started_at)

        self.run_clocked(scenario)
        return found[0]

    def test_unfinished_requests_are_refused_after_a_moment(self) -> None:
        refused_s = self._find_refusal(8.0)
        self.assertGreater(refused_s, 3.5)
        self.assertLess(refused_s, 3.8)

    def test_unfinished_requests_are_refused_within_a_short_grace_time(
        self,
    ) -> None:
        refused_s = self._find_refusal(1.0)
        self.assertGreater(refused_s, 0.0)
        self.assertLess(refused_s, 0.5)

    def _stop(
        self,
        initial_grace_s: float,
        changed_grace_s: float,
        signal_age_s: float = 0.0,
    ) -> float:
        """Return how long a stop takes when the grace time changes at 4 s.

        The stop begins `signal_age_s` after its signal.
        """
        durations_s: list[float] = []

        async def scenario() -> None:
            watch = _build_watch(initial_grace_s)

            async def change() -> None:
                await trio.sleep(4.0)
                watch.settings = _build_watch(changed_grace_s).settings

            listener = _FakeListener(100.0)
            parts = mock.Mock(listener=listener, count_busy=listener.count_busy)
            parts.begin_stop = mock.AsyncMock()
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                await gateway._stop(watch, parts, started_at - signal_age_s)
            durations_s.append(trio.current_time() - started_at)

        self.run_clocked(scenario)
        return durations_s[0]

    def test_a_longer_grace_time_applies_during_a_stop(self) -> None:
        duration_s = self._stop(6.0, 12.0)
        self.assertGreater(duration_s, 11.0)
        self.assertLess(duration_s, 12.0)

    def test_the_grace_time_starts_at_the_signal(self) -> None:
        # Otherwise a daemon signalled during its start would be killed before
        # its last requests end.
        duration_s = self._stop(8.0, 8.0, signal_age_s=3.0)
        self.assertGreater(duration_s, 4.0)
        self.assertLess(duration_s, 5.0)

    def test_a_shorter_grace_time_applies_during_a_stop(self) -> None:
        duration_s = self._stop(12.0, 6.0)
        self.assertGreater(duration_s, 5.0)
        self.assertLess(duration_s, 6.0)
