"""Simulate network partitions between zones with TCP forwarders."""

from __future__ import annotations

import trio

from martenquay_standins import loopback

__all__ = ["PLATFORM", "Network"]

PLATFORM = "platform"
_RECEIVE_BYTES = 65_536


class Network:
    """TCP forwarders, one for each source zone and target address.

    A partition closes the open connections between two zones. New ones are
    accepted, get no answer as if packets were dropped, and are closed when
    the partition is healed.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._forwarders: dict[tuple[str, str], str] = {}
        self._cut_pairs: set[frozenset[str]] = set()
        self._healed = trio.Event()
        self._open_scopes: dict[frozenset[str], set[trio.CancelScope]] = {}

    async def link(self, source: str, target: str, address: str) -> str:
        """Return the forwarder through which a zone reaches an address.

        Args:
            source: The zone that connects.
            target: The zone of the address, or `PLATFORM`.
            address: Host and port to forward to.
        """
        known = self._forwarders.get((source, address))
        if known is not None:
            return known
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        host, port = listeners[0].socket.getsockname()[:2]
        pair = frozenset((source, target))

        async def forward(stream: trio.SocketStream) -> None:
            await self._forward(stream, pair, address)

        self._nursery.start_soon(trio.serve_listeners, forward, listeners)
        self._forwarders[(source, address)] = f"{host}:{port}"
        return f"{host}:{port}"

    def cut(self, first: str, second: str) -> None:
        """Partition two zones from each other."""
        pair = frozenset((first, second))
        self._cut_pairs.add(pair)
        for scope in self._open_scopes.get(pair, set()):
            scope.cancel()

    def heal(self) -> None:
        """End all partitions."""
        self._cut_pairs.clear()
        self._healed.set()
        self._healed = trio.Event()

    async def _forward(
        self, downstream: trio.SocketStream, pair: frozenset[str], address: str
    ) -> None:
        async with downstream:
            if pair in self._cut_pairs:
                await self._healed.wait()
                return
            host, port = address.rsplit(":", 1)
            try:
                upstream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
            async with upstream:
                await self._relay(downstream, upstream, pair)

    async def _relay(
        self,
        downstream: trio.SocketStream,
        upstream: trio.SocketStream,
        pair: frozenset[str],
    ) -> None:
        scopes = self._open_scopes.setdefault(pair, set())
        async with trio.open_nursery() as nursery:
            scopes.add(nursery.cancel_scope)
            try:
                nursery.start_soon(_copy, downstream, upstream, nursery)
                await _copy(upstream, downstream, nursery)
            finally:
                scopes.discard(nursery.cancel_scope)


async def _copy(
    source: trio.SocketStream,
    target: trio.SocketStream,
    nursery: trio.Nursery,
) -> None:
    try:
        while data := await source.receive_some(_RECEIVE_BYTES):
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    # Without this, the copy of the other direction would wait for ever.
    nursery.cancel_scope.cancel()
