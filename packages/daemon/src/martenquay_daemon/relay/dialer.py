"""Connect to runners directly or, if that fails, through other daemons."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_daemon.relay import tunnel

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Iterator

    from martenquay_daemon.relay import paths, peers

    Opener = Callable[[], Awaitable[connections.OpenedStream]]

__all__ = ["RunnerDialer"]

# Other daemons may be cut off as well, so several are asked.
_MAX_RELAYS = 3
# Above the time that a connection within a region takes, below the latency
# target of a plain call.
_STAGGER_S = 0.04
# Beyond the timeout of a direct connection while its path is lost, so that the
# last relay can answer.
_RELAY_EXTRA_S = 0.1


class RunnerDialer:
    """Opens connections to runners over the path that works.

    A failed direct connection is attempted through other daemons: if one of
    them reaches the runner, the path is lost and not the runner. Connections
    over a path that is known to be lost begin with the other daemons.
    """

    def __init__(
        self,
        runner_paths: paths.RunnerPaths,
        relay_peers: peers.RelayPeers,
        count_outcome: Callable[[str], None],
    ) -> None:
        """Create the dialer.

        Args:
            runner_paths: The paths that are known to be lost.
            relay_peers: The daemons to connect through.
            count_outcome: Called with the outcome of each relayed attempt.
        """
        self._paths = runner_paths
        self._peers = relay_peers
        self._count_outcome = count_outcome

    async def open_stream(
        self, address: str, timeout_s: float, max_use_s: float
    ) -> connections.OpenedStream:
        """Open a stream to a runner; implements `StreamOpener`.

        Args:
            address: Host and port of the runner.
            timeout_s: Timeout for a direct connection.
            max_use_s: Longest time for which the stream is used.

        Raises:
            NotConnectedError: Neither this daemon nor the others that were
                asked reach the runner.
        """
        if self._peers.is_empty:
            return await connections.open_stream(address, timeout_s, max_use_s)
        is_lost = self._paths.is_lost(address) or self._paths.is_cut_off
        openers = self._iterate_openers(
            address, timeout_s, max_use_s, is_direct_first=not is_lost
        )
        limit_s = timeout_s + _RELAY_EXTRA_S if is_lost else timeout_s
        opened = None
        with trio.move_on_after(limit_s):
            opened = await _open_first(openers)
        if opened is None:
            raise connections.NotConnectedError(
                f"not connected within {limit_s:.3f} s"
            )
        if opened.relay:
            self._paths.note_lost(address)
        else:
            self._paths.note_direct(address)
        return opened

    def _iterate_openers(
        self,
        address: str,
        timeout_s: float,
        max_use_s: float,
        *,
        is_direct_first: bool,
    ) -> Iterator[Opener]:
        """Yield the paths to try; relays are chosen once they are needed."""
        direct = functools.partial(
            connections.open_stream, address, timeout_s, max_use_s
        )
        if is_direct_first:
            yield direct
        for relay in self._peers.choose(_MAX_RELAYS):
            yield functools.partial(
                self._open_relayed, relay, address, timeout_s, max_use_s
            )
        if not is_direct_first:
            yield direct

    async def _open_relayed(
        self, relay: str, address: str, timeout_s: float, max_use_s: float
    ) -> connections.OpenedStream:
        started_at = trio.current_time()
        try:
            stream = await tunnel.open_tunnel(
                relay, address, timeout_s, max_use_s
            )
        except trio.Cancelled:
            # Another path was faster; a relay that is suspended never fails.
            if trio.current_time() >= started_at + _STAGGER_S:
                self._peers.note_failure(relay)
            raise
        except connections.NotConnectedError:
            self._peers.note_failure(relay)
            self._count_outcome("failed")
            raise
        self._peers.note_success(relay)
        self._count_outcome("opened")

        async def reopen(
            address: str, timeout_s: float, max_use_s: float
        ) -> connections.OpenedStream:
            return await self._open_relayed(
                relay, address, timeout_s, max_use_s
            )

        return connections.OpenedStream(stream, reopen, relay)


async def _open_first(openers: Iterable[Opener]) -> connections.OpenedStream:
    """Return the stream that is opened first.

    The next opener starts when the one before has failed or takes long.

    Raises:
        NotConnectedError: All have failed.
    """
    winner: connections.OpenedStream | None = None
    errors: list[connections.NotConnectedError] = []
    try:
        async with trio.open_nursery() as nursery:

            async def try_one(opener: Opener, failed: trio.Event) -> None:
                nonlocal winner
                try:
                    opened = await opener()
                except connections.NotConnectedError as error:
                    errors.append(error)
                    failed.set()
                    return
                if winner is not None:
                    await trio.aclose_forcefully(opened.stream)
                    return
                winner = opened
                nursery.cancel_scope.cancel()

            for opener in openers:
                failed = trio.Event()
                nursery.start_soon(try_one, opener, failed)
                with trio.move_on_after(_STAGGER_S):
                    await failed.wait()
    except BaseException:
        if winner is not None:
            await trio.aclose_forcefully(winner.stream)
        raise
    if winner is not None:
        return winner
    raise connections.NotConnectedError(
        "; ".join(map(str, errors)),
        is_refused=_is_refused_on_all_paths(errors),
    )


def _is_refused_on_all_paths(
    errors: list[connections.NotConnectedError],
) -> bool:
    """Return whether the runner's host refused this and another daemon.

    A single daemon's refusal may come from its own path.
    """
    answered = [
        error
        for error in errors
        if not isinstance(error, tunnel.RelayUnreachableError)
    ]
    return len(answered) > 1 and all(error.is_refused for error in answered)
