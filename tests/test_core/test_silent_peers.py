"""A link between daemons that goes silent is found out and made anew."""

from __future__ import annotations

import pathlib

import testtools
import trio
import zmq

from martenquay_core.peers import sockets
from martenquay_standins.chaos import proxy

# Over twice the slowest bound; ZeroMQ's own ones are 30 s or none.
_HANG_S = 15.0
_PAUSE_S = 0.02
# As the kernel's table of connections writes it.
_ESTABLISHED = "01"


class SilentPeerTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
            try:
                router = sockets.bind_router(context, "127.0.0.1:0")
                front = proxy.FaultyProxy(router.address)
                async with trio.open_nursery() as nursery:
                    await nursery.start(front.run)
                    dealer = sockets.connect_dealer(
                        context, front.address, waits_for_peer=False
                    )
                    with trio.fail_after(_HANG_S):
                        await scenario(front, router, dealer)
                    dealer.close()
                    nursery.cancel_scope.cancel()
                router.close()
            finally:
                context.destroy(linger=0)

        trio.run(run)

    async def _tell(self, dealer: sockets.PeerSocket, text: bytes) -> None:
        while True:
            dealer.send([text])
            await trio.sleep(_PAUSE_S)

    async def _pass(
        self,
        dealer: sockets.PeerSocket,
        router: sockets.PeerSocket,
        text: bytes,
    ) -> bytes:
        """Send a text until it is received; return the sender's identity."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell, dealer, text)
            while True:
                peer, found = await router.receive()
                if found == text:
                    break
            nursery.cancel_scope.cancel()
        return peer

    def test_news_pass_again_after_an_open_link_fell_silent(self) -> None:
        async def scenario(front, router, dealer) -> None:
            await self._pass(dealer, router, b"before")
            front.silence_connections()
            await self._pass(dealer, router, b"after")

        self._run(scenario)

    def test_a_link_that_fell_silent_while_it_came_up_is_made_anew(
        self,
    ) -> None:
        async def scenario(front, router, dealer) -> None:
            # The greetings are held back, then lost for good.
            front.set_faults(proxy.ProxyFaults(delay_s=0.3))
            while not front.count_connections():
                await trio.sleep(_PAUSE_S)
            front.silence_connections()
            front.set_faults(proxy.ProxyFaults())
            await self._pass(dealer, router, b"after")

        self._run(scenario)

    def test_who_is_told_gives_up_a_silent_link_too(self) -> None:
        async def scenario(front, router, dealer) -> None:
            await self._pass(dealer, router, b"before")
            front.silence_connections()
            await self._pass(dealer, router, b"after")
            while _count_taken(router.address) > 1:
                await trio.sleep(_PAUSE_S)

        self._run(scenario)


def _count_taken(address: str) -> int:
    """Return how many connections a listening address holds open."""
    wanted = f"{int(address.rpartition(':')[2]):04X}"
    lines = pathlib.Path("/proc/self/net/tcp").read_text("ascii").splitlines()
    fields = [line.split() for line in lines[1:]]
    return sum(
        local.endswith(f":{wanted}") and state == _ESTABLISHED
        for _, local, _, state, *_ in fields
    )
