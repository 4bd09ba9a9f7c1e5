"""Messages queue only where requested; one that is lost ends no receiver."""

from __future__ import annotations

import errno
import os
import socket
import time
from unittest import mock

import testtools
import trio
import zmq

from martenquay_core.peers import sockets
from martenquay_standins import loopback

_HANG_S = 30.0
# The order of two tasks that are due at once is random; half of the attempts
# show the failure.
_ATTEMPTS = 8
_IO_THREAD_S = 0.05


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

    def test_a_message_that_is_lost_before_the_read_ends_no_receiver(
        self,
    ) -> None:
        async def lose_reply(context, replies: list) -> None:
            router = sockets.bind_router(context, "127.0.0.1:0")
            dealer = sockets.connect_dealer(
                context, router.address, waits_for_peer=False
            )
            while not dealer.send([b"request"]):
                await trio.sleep(0.005)
            peer, _ = await router.receive()
            router.send([peer, b"reply"])
            time.sleep(_IO_THREAD_S)
            async with trio.open_nursery() as nursery:

                async def receive() -> None:
                    replies.append(await dealer.receive())

                nursery.start_soon(receive)
                await trio.lowlevel.checkpoint()
                # ZeroMQ drops the unread reply with the connection, in the
                # next call on the socket.
                router.close()
                time.sleep(_IO_THREAD_S)
                dealer.send([b"next"])
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            dealer.close()

        async def scenario(context) -> None:
            replies: list[list[bytes]] = []
            for _ in range(_ATTEMPTS):
                await lose_reply(context, replies)
            self.assertEqual([[b"reply"]] * len(replies), replies)

        self._run(scenario)

    def test_a_link_without_a_descriptor_fails_as_zeromq_does(self) -> None:
        async def scenario(context) -> None:
            error = OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            with mock.patch.object(sockets.os, "dup", side_effect=error):
                failed = self.assertRaises(
                    zmq.ZMQError, sockets.connect_dealer, context, "127.0.0.1:1"
                )
            self.assertEqual(errno.EMFILE, failed.errno)


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
