"""A runner that was heard while it was asked is not taken as gone."""

from __future__ import annotations

from unittest import mock

import trio

from martenquay_daemon.engines import placer
from martenquay_daemon.forwarding import silence
from tests import clocked
from tests import serving_builders as builders

_PATIENCE = silence.SilenceLimits(first_s=0.3, next_s=0.3)


class _Connection:
    """What the watch looks at."""

    def __init__(self) -> None:
        self.heard_at = trio.current_time()
        self.has_answered = False
        self.has_begun = False


async def _is_there(address: str) -> bool:
    del address
    return False


class SilenceTest(clocked.ClockedTestCase):
    def _wait(
        self, patience: silence.SilenceLimits, *, has_begun: bool
    ) -> float:
        """Return how long a silent connection of a live runner is borne."""
        took: list[float] = []

        async def scenario() -> None:
            connection = _Connection()
            connection.has_begun = has_begun
            placement = placer.Placement(builders.build_runner(), 0.0, 0, 1)
            with mock.patch.object(silence, "_is_gone", _is_there):
                await silence.wait_until_gone(connection, placement, patience)
            took.append(trio.current_time() - connection.heard_at)

        self.run_clocked(scenario)
        return took[0]

    def test_a_live_runners_connection_may_not_be_silent_for_ever(
        self,
    ) -> None:
        patience = silence.SilenceLimits(0.3, 0.3, 4.0, 2.0, lambda: True)
        self.assertAlmostEqual(4.0, self._wait(patience, has_begun=False))
        self.assertAlmostEqual(2.0, self._wait(patience, has_begun=True))

    def test_silence_alone_ends_nothing_that_could_not_go_on_elsewhere(
        self,
    ) -> None:
        may_move_at = trio.current_time
        patience = silence.SilenceLimits(
            0.3, 0.3, 4.0, 2.0, lambda: may_move_at() >= 7.0
        )
        took_s = self._wait(patience, has_begun=True)
        self.assertGreaterEqual(took_s, 7.0)
        self.assertLess(took_s, 7.5)

    def test_what_was_heard_during_the_probe_counts(self) -> None:
        async def scenario() -> None:
            connection = _Connection()
            placement = placer.Placement(builders.build_runner(), 0.0, 0, 1)
            asked: list[float] = []

            async def ask(address: str) -> bool:
                del address
                await trio.sleep(0.2)
                asked.append(trio.current_time())
                if len(asked) == 1:
                    connection.heard_at = trio.current_time() - 0.1
                return True

            with mock.patch.object(silence, "_is_gone", ask):
                await silence.wait_until_gone(connection, placement, _PATIENCE)
            self.assertEqual(2, len(asked))

        self.run_clocked(scenario)
