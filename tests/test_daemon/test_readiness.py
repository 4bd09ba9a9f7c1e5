"""A fault in the readiness server costs neither its socket nor the daemon."""

from __future__ import annotations

from unittest import mock

import testtools
import trio

from martenquay_core.settings import gateway
from martenquay_daemon import readiness
from martenquay_daemon.forwarding import caller_connection
from martenquay_platform import codec
from tests import serving_builders as builders
from tests import serving_scene, start_addresses

_HANG_S = 20.0
_PROBE = b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


class ReadinessServerTest(testtools.TestCase):
    def test_a_connection_that_fails_costs_only_itself(self) -> None:
        serve = caller_connection.CallerConnection.serve
        faults = [ValueError("bytes that nobody expected")]

        async def fail_once(connection):
            if faults:
                raise faults.pop()
            await serve(connection)

        async def run() -> None:
            listen = builders.build_gateway_settings()["listen"]
            handler = readiness.ReadinessHandler(
                gateway.GatewayListen(**listen), lambda: True, lambda: b""
            )
            address = start_addresses.create_addresses()
            server = readiness.create_server(
                handler, address.format("readiness"), codec.create_codec()
            )
            server.listen()
            host, port = address.find("readiness")
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.run)
                    with mock.patch.object(
                        caller_connection.CallerConnection, "serve", fail_once
                    ):
                        first = await trio.open_tcp_stream(host, port)
                        while faults:
                            await trio.sleep(0.01)
                        # Refused if the socket were closed meanwhile.
                        second = await trio.open_tcp_stream(host, port)
                        await second.send_all(_PROBE)
                        reply = await serving_scene.read_reply(second)
                    self.assertEqual(200, reply.status)
                    await first.aclose()
                    await second.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(run)
