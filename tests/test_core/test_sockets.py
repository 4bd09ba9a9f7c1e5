"""Messages are queued for an unreachable peer only where requested."""

from __future__ import annotations

import socket

import testtools
import trio
import zmq

from martenquay_core.peers import sockets

_HANG_S = 30.0


class SocketTestCase(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
            try:
                with trio.fail_after(_HANG_S):
                    await scenario(context)
            finally:
                context.destroy(linger=0)

        trio.run(run)


class DealerTest(SocketTestCase):
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
            reserved.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{reserved.getsockname()[1]}"
            dealer = sockets.connect_dealer(context, address)
            self.assertTrue(dealer.send([b"kept"]))
            reserved.close()
            router = sockets.bind_router(context, address)
            frames = await router.receive()
            self.assertEqual(b"kept", frames[-1])
            dealer.close()
            router.close()

        self._run(scenario)


class EndlessMessageTest(SocketTestCase):
    def test_a_frame_beyond_the_bound_is_not_received(self) -> None:
        async def scenario(context) -> None:
            router = sockets.bind_router(context, "127.0.0.1:0")
            large = sockets.connect_dealer(context, router.address)
            small = sockets.connect_dealer(context, router.address)
            large.send([bytes(sockets.MAX_FRAME_BYTES + 1)])
            await trio.sleep(0.3)
            small.send([b"kept"])
            frames = await router.receive()
            self.assertEqual(b"kept", frames[-1])
            for one in (large, small, router):
                one.close()

        self._run(scenario)

    def test_an_oversized_reply_is_not_received(self) -> None:
        async def scenario(context) -> None:
            router = sockets.bind_router(context, "127.0.0.1:0")
            dealer = sockets.connect_dealer(context, router.address)
            dealer.send([b"ask"])
            sender, _ = await router.receive()
            router.send([sender, bytes(sockets.MAX_FRAME_BYTES + 1)])
            received: list[list[bytes]] = []
            with trio.move_on_after(0.5):
                received.append(await dealer.receive())
            self.assertEqual([], received)
            for one in (dealer, router):
                one.close()

        self._run(scenario)
