"""A relay's planned stop lets other daemons' streams through it end."""

from __future__ import annotations

import os
import signal

import testtools
import trio

from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_daemon.relay import tunnel
from tests import paced_runner
from tests.test_platform import process_scene

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_GRACE_S = 6.0
_EVENT_S = 0.02
_TIMEOUT_S = 2.0
# Below the range from which the kernel gives ports to other programs.
_RELAY_PORT = 20_001


def _draw_address() -> str:
    """Return an address of this process' own, which no other test uses."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{77 + high // 250}.{high % 250}.{low + 1}:{_RELAY_PORT}"


class RelayStopTest(testtools.TestCase):
    def _read_during_stop(self, tokens: int) -> tuple[bytes | None, int, str]:
        """Read a stream through a relay that is stopped while it runs.

        Returns:
            Its body, or None if it broke off; the relay's exit status; its
            log.
        """
        results: list[tuple[bytes | None, int, str]] = []

        async def run() -> None:
            runner = paced_runner.PacedRunner(_EVENT_S)
            relay = _draw_address()
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    grace_s=_GRACE_S, runner=runner, relay=relay
                ) as scene:
                    await scene.wait_until_serving()
                    body = await self._read(scene, runner, relay, tokens)
                    status = await scene.wait_exit()
                    results.append((body, status, scene.describe()))

        trio.run(run)
        return results[0]

    async def _read(
        self,
        scene: process_scene.ProcessScene,
        runner: paced_runner.PacedRunner,
        relay: str,
        tokens: int,
    ) -> bytes | None:
        async def open_stream(
            address: str, timeout_s: float, max_use_s: float
        ) -> connections.OpenedStream:
            stream = await tunnel.open_tunnel(
                relay, address, timeout_s, max_use_s
            )
            return connections.OpenedStream(stream, open_stream, relay)

        headers = [
            (b"host", b"a"),
            (b"attempt-id", b"call-1"),
            (b"token-counts", b"1,%d" % tokens),
        ]
        async with connections.connect_runner(
            runner.address, _TIMEOUT_S, opener=open_stream
        ) as connection:
            await connection.send_request(
                connections.RunnerRequest("GET", "/a", headers)
            )
            await connection.read_head()
            scene.send_signals(signal.SIGTERM)
            await scene.wait_text("Stopping")
            with self.assertRaises(tunnel.TunnelRefusedError):
                await open_stream(runner.address, _TIMEOUT_S, _TIMEOUT_S)
            try:
                return await connection.read_body()
            except connections.BrokenAnswerError:
                return None

    def test_a_stream_within_the_grace_time_is_whole(self) -> None:
        body, status, log = self._read_during_stop(200)
        self.assertIsNotNone(body, log)
        self.assertEqual(200, body.count(b"id: "), log)
        self.assertEqual(0, status, log)

    def test_a_stream_beyond_the_grace_time_is_not_taken_for_whole(
        self,
    ) -> None:
        body, status, log = self._read_during_stop(600)
        self.assertIsNone(body, log)
        self.assertEqual(0, status, log)
