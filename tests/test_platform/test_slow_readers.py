"""A caller that reads slowly has its answer although the process has ended."""

from __future__ import annotations

import signal
import socket

import testtools
import trio

from tests import paced_runner, serving_scene
from tests.test_platform import process_scene

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_TOKENS = 900
_RECEIVE_BUFFER_BYTES = 8192
_REQUEST = (
    b"GET /note/1 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: %s\r\n"
    b"deadline-ms: 4000\r\ntoken-counts: 10,%d\r\n\r\n"
)


class SlowReaderTest(testtools.TestCase):
    def _read_after_exit(self, *, crosses: bool) -> tuple[int, str]:
        """Read an answer only after the daemon has stopped.

        Args:
            crosses: Send another request when the answer has been written.

        Returns:
            The number of events of an answer that is whole, otherwise 0; the
            daemon's log.
        """
        results: list[tuple[int, str]] = []

        async def run() -> None:
            runner = paced_runner.PacedRunner(0.0)
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    runner=runner
                ) as scene:
                    await scene.wait_until_serving()
                    async with await self._open(scene) as stream:
                        scene.send_signals(signal.SIGTERM)
                        await scene.wait_text("Stopping")
                        await stream.send_all(_REQUEST % (b"first", _TOKENS))
                        await scene.wait_text("Request delivered")
                        if crosses:
                            await stream.send_all(_REQUEST % (b"next", 3))
                        status = await scene.wait_exit()
                        reply = await serving_scene.read_reply(stream)
                    self.assertEqual(0, status, scene.describe())
                    count = reply.body.count(b"id: ") * reply.is_whole
                    results.append((count, scene.describe()))

        trio.run(run)
        return results[0]

    async def _open(
        self, scene: process_scene.ProcessScene
    ) -> trio.SocketStream:
        sock = trio.socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        host, _, port = scene.find_address().rpartition(":")
        await sock.connect((host, int(port)))
        return trio.SocketStream(sock)

    def test_that_has_sent_nothing_more(self) -> None:
        count, log = self._read_after_exit(crosses=False)
        self.assertEqual(_TOKENS, count, log)

    def test_that_has_sent_a_request_across_the_close(self) -> None:
        count, log = self._read_after_exit(crosses=True)
        self.assertEqual(_TOKENS, count, log)
