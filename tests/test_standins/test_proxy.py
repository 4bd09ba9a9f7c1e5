"""A silenced connection is dead for good, and new ones pass."""

from __future__ import annotations

import testtools
import trio

from martenquay_standins.chaos import proxy

_HANG_S = 30.0
# Loopback delivers in far less.
_QUIET_S = 0.2


class SilencedConnectionTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def echo(stream: trio.SocketStream) -> None:
            while data := await stream.receive_some(100):
                await stream.send_all(data)

        async def run() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            front = proxy.FaultyProxy(f"127.0.0.1:{port}")
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.serve_listeners, echo, listeners)
                    await nursery.start(front.run)
                    await scenario(front)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _connect(self, front: proxy.FaultyProxy) -> trio.SocketStream:
        host, _, port = front.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"first")
        self.assertEqual(b"first", await stream.receive_some(100))
        return stream

    def test_open_ones_fall_silent_and_new_ones_pass(self) -> None:
        async def scenario(front: proxy.FaultyProxy) -> None:
            async with await self._connect(front) as old:
                front.silence_connections()
                await old.send_all(b"lost")
                async with await self._connect(front):
                    pass
                # Healing the way does not bring them back.
                front.set_faults(proxy.ProxyFaults())
                with trio.move_on_after(_QUIET_S):
                    self.fail(f"heard {await old.receive_some(100)!r}")

        self._run(scenario)

    def test_a_silent_one_tells_neither_side_of_its_end(self) -> None:
        async def scenario(front: proxy.FaultyProxy) -> None:
            old = await self._connect(front)
            front.silence_connections()
            await old.aclose()
            await trio.sleep(_QUIET_S)
            self.assertEqual(1, front.count_connections())

        self._run(scenario)
