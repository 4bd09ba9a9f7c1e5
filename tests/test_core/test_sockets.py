"""Messages are queued for an unreachable peer only where requested."""

from __future__ import annotations

import socket

import testtools
import trio
import zmq

from martenquay_core.peers import sockets
from martenquay_standins import loopback

_HANG_S = 30.0


class DealerTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
            try:
                with trio.fail_after(_HANG_S):
                    await scenario(context)
            finally:
                context.destroy(linger=0)

        trio.run(run)

    def test_messages_without_a_connection_are_refused(self) -> None:
        async def scenario(context) -> None:
            dealer = sockets.connect_dealer(
                context, "127.0.0.1:1", waits_for_peer=False
            )
            self.assertFalse(dealer.send([b"old"]))
            dealer.close()

        self._run(scenario)

    def test_queued_messages_are_sent_once_the_peer_listens(self) -> None:
        async def scenario(context) -> None:
            # A bound socket that does not listen reserves the port and refuses
            # connections.
            reserved = socket.socket()
            reserved.bind((loopback.HOST, 0))
            address = loopback.create_address(reserved.getsockname()[1])
            dealer = sockets.connect_dealer(context, address)
            self.assertTrue(dealer.send([b"kept"]))
            reserved.close()
            router = sockets.bind_router(context, address)
            frames = await router.receive()
            self.assertEqual(b"kept", frames[-1])
            dealer.close()
            router.close()

        self._run(scenario)
