"""Base of the tests that play a crowd against a daemon's process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio

from tests import crowd_scene, endless_runner, plain_runner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["CrowdCase", "send_bytes"]

# Ends a test that hangs; nothing is asserted about time.
_HANG_S = 120.0


class CrowdCase(testtools.TestCase):
    """Plays a scenario and checks what must hold of the process."""

    def play(
        self,
        scenario: Callable[[crowd_scene.CrowdScene], Awaitable[None]],
        *,
        descriptors: int = 0,
        runner: plain_runner.PlainRunner
        | endless_runner.EndlessRunner
        | None = None,
        **limits: int,
    ) -> None:
        """Play a scenario, which asks an ordinary request at its end.

        Args:
            scenario: Plays the crowd against the running daemon.
            descriptors: Limit of the daemon's descriptors; 0 for the system's.
            runner: The runner; by default one with short answers.
            **limits: Limits of callers in the operators' configuration.
        """

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with crowd_scene.open_crowd_scene(
                    descriptors=descriptors, runner=runner, **limits
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    async def assert_healthy(self, scene: crowd_scene.CrowdScene) -> None:
        """Check that the process lives, is small and answers a request."""
        self.assertTrue(scene.is_running(), scene.process.describe())
        reply = await scene.ask()
        peak_bytes = scene.read_peak_bytes()
        self.assertEqual(
            (200, plain_runner.ANSWER),
            (reply.status, reply.body),
            f"{reply}; peak {peak_bytes}",
        )
        self.assertLess(peak_bytes, crowd_scene.MEMORY_BYTES)


async def send_bytes(
    stream: trio.SocketStream, piece: bytes, size: int
) -> None:
    """Send a piece again and again until at least `size` bytes are sent."""
    for _ in range(-(-size // len(piece))):
        await stream.send_all(piece)
