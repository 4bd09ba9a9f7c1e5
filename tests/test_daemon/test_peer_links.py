"""A fault in one message between daemons ends no other link."""

from __future__ import annotations

import testtools
import trio
import zmq

from martenquay_core.peers import messages, sockets
from martenquay_core.settings import models
from martenquay_daemon.membership import links, table
from tests import builders

_HANG_S = 20.0


class PeerLinksTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            settings = builders.build_settings()
            self.context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
            self.router = sockets.bind_router(self.context, "127.0.0.1:0")
            settings["seeds"] = [self.router.address]
            members = table.MemberTable(builders.build_member(), 3)
            peer_links = links.PeerLinks(
                members,
                models.DaemonSettings.model_validate(settings),
                self._handle,
            )
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(peer_links.run)
                    dealer = sockets.connect_dealer(self.context, address)
                    self.links = peer_links
                    await scenario(dealer)
                    dealer.close()
                    nursery.cancel_scope.cancel()
            self.router.close()
            self.context.destroy(linger=0)

        trio.run(run)

    async def _handle(self, message: messages.Message) -> messages.Message:
        if isinstance(message, messages.FetchConfig):
            raise ValueError("an offset that nobody expected")
        return messages.Acknowledged()

    async def _check_answered(self, dealer: sockets.PeerSocket) -> None:
        raw = messages.encode_message(messages.FetchAnswer("call-1"))
        dealer.send([b"2", raw])
        number, reply = await dealer.receive()
        self.assertEqual(b"2", number)
        self.assertEqual(
            messages.Acknowledged(), messages.decode_message(reply)
        )

    def test_a_request_that_fails_costs_that_request(self) -> None:
        async def scenario(dealer: sockets.PeerSocket) -> None:
            raw = messages.encode_message(messages.FetchConfig(1))
            dealer.send([b"1", raw])
            await self._check_answered(dealer)

        self._run(scenario)

    def test_an_unreadable_reply_costs_that_reply(self) -> None:
        async def scenario(dealer: sockets.PeerSocket) -> None:
            for reply in ([b"\xc1"], [b"\x91" * 5000], [b"1", b"2", b"3"], []):
                peer, number, _ = await self.router.receive()
                self.router.send([peer, number, *reply])
            # The next heartbeat shows that the link goes on.
            await self.router.receive()
            await self._check_answered(dealer)

        self._run(scenario)

    def test_an_invalid_address_keeps_back_no_other_link(self) -> None:
        async def scenario(dealer: sockets.PeerSocket) -> None:
            second = sockets.bind_router(self.context, "127.0.0.1:0")
            self.links.choose_links(
                [
                    links.PeerAddress("entry-2", "serra-a", "no address"),
                    links.PeerAddress("entry-3", "serra-a", second.address),
                ]
            )
            await second.receive()
            second.close()
            await self._check_answered(dealer)

        self._run(scenario)
