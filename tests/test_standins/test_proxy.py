"""FaultyProxy.silence_connections: open connections only, for good."""

from __future__ import annotations

import testtools
import trio

from martenquay_standins import loopback
from martenquay_standins.chaos import proxy

_TIMEOUT_S = 30.0
_SILENCE_S = 0.2


class SilencedConnectionTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def echo(stream: trio.SocketStream) -> None:
            while data := await stream.receive_some(100):
                await stream.send_all(data)

        async def run() -> None:
            listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
            port = listeners[0].socket.getsockname()[1]
            faulty_proxy = proxy.FaultyProxy(loopback.create_address(port))
            with trio.fail_after(_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.serve_listeners, echo, listeners)
                    await nursery.start(faulty_proxy.run)
                    await scenario(faulty_proxy)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _connect(
        self, faulty_proxy: proxy.FaultyProxy
    ) -> trio.SocketStream:
        host, _, port = faulty_proxy.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"first")
        self.assertEqual(b"first", await stream.receive_some(100))
        return stream

    def test_only_open_connections_are_silenced(self) -> None:
        async def scenario(faulty_proxy: proxy.FaultyProxy) -> None:
            async with await self._connect(faulty_proxy) as old:
                faulty_proxy.silence_connections()
                await old.send_all(b"lost")
                async with await self._connect(faulty_proxy):
                    pass
                # Ending the faults must not restore silenced connections.
                faulty_proxy.set_faults(proxy.ProxyFaults())
                with trio.move_on_after(_SILENCE_S):
                    self.fail(f"received {await old.receive_some(100)!r}")

        self._run(scenario)

    def test_a_close_is_not_forwarded_on_a_silenced_connection(self) -> None:
        async def scenario(faulty_proxy: proxy.FaultyProxy) -> None:
            old = await self._connect(faulty_proxy)
            faulty_proxy.silence_connections()
            await old.aclose()
            await trio.sleep(_SILENCE_S)
            self.assertEqual(1, faulty_proxy.count_connections())

        self._run(scenario)
