"""A connection between daemons that goes silent is replaced."""

from __future__ import annotations

import pathlib

import testtools
import trio
import zmq

from martenquay_core.peers import sockets
from martenquay_standins import loopback
from martenquay_standins.chaos import proxy

# Less than ZeroMQ's own timeouts of 30 s, which would also end the silence.
_HANG_S = 15.0
_PAUSE_S = 0.02
# State ESTABLISHED in /proc/net/tcp.
_ESTABLISHED = "01"


class SilentPeerTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
            try:
                router = sockets.bind_router(context, loopback.create_address())
                faulty = proxy.FaultyProxy(router.address)
                async with trio.open_nursery() as nursery:
                    await nursery.start(faulty.run)
                    dealer = sockets.connect_dealer(
                        context, faulty.address, waits_for_peer=False
                    )
                    with trio.fail_after(_HANG_S):
                        await scenario(faulty, router, dealer)
                    dealer.close()
                    nursery.cancel_scope.cancel()
                router.close()
            finally:
                context.destroy(linger=0)

        trio.run(run)

    async def _send_repeatedly(
        self, dealer: sockets.PeerSocket, text: bytes
    ) -> None:
        while True:
            dealer.send([text])
            await trio.sleep(_PAUSE_S)

    async def _deliver(
        self,
        dealer: sockets.PeerSocket,
        router: sockets.PeerSocket,
        text: bytes,
    ) -> bytes:
        """Send a text until it is received; return the sender's identity."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_repeatedly, dealer, text)
            while True:
                peer, found = await router.receive()
                if found == text:
                    break
            nursery.cancel_scope.cancel()
        return peer

    def test_messages_pass_again_after_an_open_connection_fell_silent(
        self,
    ) -> None:
        async def scenario(faulty, router, dealer) -> None:
            await self._deliver(dealer, router, b"before")
            faulty.silence_connections()
            await self._deliver(dealer, router, b"after")

        self._run(scenario)

    def test_a_connection_that_fell_silent_in_its_handshake_is_replaced(
        self,
    ) -> None:
        async def scenario(faulty, router, dealer) -> None:
            # Delays the handshake, then drops it.
            faulty.set_faults(proxy.ProxyFaults(delay_s=0.3))
            while not faulty.count_connections():
                await trio.sleep(_PAUSE_S)
            faulty.silence_connections()
            faulty.set_faults(proxy.ProxyFaults())
            await self._deliver(dealer, router, b"after")

        self._run(scenario)

    def test_the_listening_side_closes_a_silent_connection(self) -> None:
        async def scenario(faulty, router, dealer) -> None:
            await self._deliver(dealer, router, b"before")
            faulty.silence_connections()
            await self._deliver(dealer, router, b"after")
            while _count_accepted(router.address) > 1:
                await trio.sleep(_PAUSE_S)

        self._run(scenario)


def _count_accepted(address: str) -> int:
    """Return how many accepted connections an address holds open."""
    port = f"{int(address.rpartition(':')[2]):04X}"
    lines = pathlib.Path("/proc/self/net/tcp").read_text("ascii").splitlines()
    fields = [line.split() for line in lines[1:]]
    return sum(
        local.endswith(f":{port}") and state == _ESTABLISHED
        for _, local, _, state, *_ in fields
    )
