"""Watch relayed streams and move them off engines that are about to leave."""

from __future__ import annotations

import functools
import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import catalog
from martenquay_daemon import supervision
from martenquay_daemon.forwarding import exchange
from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_daemon.migration import plan, states, transfer
from martenquay_daemon.migration import stream as streams

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from martenquay_core.serving import runners
    from martenquay_daemon.discovery import catalog_store
    from martenquay_daemon.migration import decision_log, departures, targets

__all__ = ["StreamMover"]

_LOG = logs.create_log("migration")
# A small part of the 2.4 s that a reclaimed engine has left.
_POLL_S = 0.05
# Copies queue on the source's link, so more at a time only delay the first.
_MAX_MOVES_AT_ONCE = 4
# A run that keeps coming back to its source has no place elsewhere.
_MAX_MOVES = 4
# Each call has a price; later ones would meet the same full engines.
_MAX_COPY_CALLS = 6
# A first copy that is still in progress when its source has closed the stream
# will not be completed.
_COPY_WAIT_S = 0.3

# Id and start time of a runner's process.
_Process = tuple[str, int | None]


class StreamMover:
    """Moves streams of this daemon off leaving engines.

    Attributes:
        is_enabled: Whether streams are moved at all, by the settings.
    """

    def __init__(
        self,
        store: catalog_store.CatalogStore,
        departure_times: departures.Departures,
        target_finder: targets.TargetFinder,
        run_transfer: transfer.Transfer,
        decision_log: decision_log.DecisionLog,
        refresh_entries: Callable[[], Awaitable[None]],
    ) -> None:
        self.is_enabled = True
        self._store = store
        self._departures = departure_times
        self._targets = target_finder
        self._transfer = run_transfer
        self._log = decision_log
        self._refresh_entries = refresh_entries
        self._states = states.StreamStates()
        self._streams: dict[_Process, set[streams.WatchedStream]] = {}
        self._has_streams = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def watch(
        self,
        current: exchange.Exchange,
        source: runners.Runner,
        connection: connections.RunnerConnection,
        relay: Callable[
            [Callable[[], Awaitable[bool]]], Awaitable[exchange.AttemptResult]
        ],
    ) -> exchange.AttemptResult:
        """Relay a stream and move it if its engine leaves before its end.

        Args:
            current: The request.
            source: The runner that serves it.
            connection: The connection to the runner.
            relay: Relays the stream to its end. Before it ends the answer, it
                has to call its argument, which tells whether the run was not
                stopped to be moved.

        Returns:
            The outcome of the relay, or `exchange.Moved`.

        Raises:
            BrokenAnswerError: The stream broke off and no copy can continue it.
        """
        stream = streams.WatchedStream(current, source, connection)

        async def is_end() -> bool:
            return not await _is_stopped(stream)

        if not self._may_move(current):
            return await relay(is_end)
        self._add(stream)
        try:
            result = await relay(is_end)
            match result:
                case exchange.Delivered():
                    self._states.note_end(stream)
                case exchange.Broken() | exchange.NotRun():
                    if await _is_stopped(stream):
                        stream.continued = stream.find_continuation()
            return stream.continued or result
        except connections.BrokenAnswerError:
            stream.continued = await _await_continuation(stream)
            if stream.continued is None:
                raise
            return stream.continued
        finally:
            stream.is_over = True
            self._remove(stream)
            if not stream.is_moving:
                self._free_unused(stream)

    async def run(self) -> None:
        """Plan and move until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                while True:
                    await self._has_streams.wait()
                    for group in list(self._streams.values()):
                        # A fault in one plan must not end moves in progress.
                        with supervision.contain_faults("A plan failed"):
                            self._plan_source(group, nursery)
                    await trio.sleep(_POLL_S)
            finally:
                self._nursery = None

    def _may_move(self, current: exchange.Exchange) -> bool:
        return (
            self.is_enabled
            and bool(current.call.id)
            and current.route.kind is catalog.CallKind.STREAM
            and current.moves < _MAX_MOVES
            and self._find_traits(current.service) is not None
        )

    def _find_traits(self, service: str) -> catalog.EngineTraits | None:
        """Return the traits of a service whose engines can move runs."""
        found = self._store.table.catalog.services.get(service)
        if found is None or found.engine is None or not found.engine.can_move:
            return None
        return found.engine

    def _add(self, stream: streams.WatchedStream) -> None:
        key = (stream.source.id, stream.source.born_ms)
        self._streams.setdefault(key, set()).add(stream)
        self._has_streams.set()

    def _remove(self, stream: streams.WatchedStream) -> None:
        key = (stream.source.id, stream.source.born_ms)
        self._streams[key].discard(stream)
        if not self._streams[key]:
            del self._streams[key]
        if not self._streams:
            self._has_streams = trio.Event()

    def _plan_source(
        self, group: set[streams.WatchedStream], nursery: trio.Nursery
    ) -> None:
        """Decide about the streams of one runner if it leaves."""
        source = next(iter(group)).source
        time_left_s = self._departures.find_time_left(source)
        traits = self._find_traits(source.service)
        if time_left_s is None or traits is None or not self.is_enabled:
            return
        moving = sum(stream.is_moving for stream in group)
        waiting = {
            stream.current.call.id: stream
            for stream in group
            if not stream.is_moving
            and stream.stopped is None
            and not stream.is_ended_there
            and stream.copy_calls < _MAX_COPY_CALLS
        }
        if not waiting:
            return
        engine = plan.LeavingEngine(
            source.zone,
            time_left_s,
            traits,
            self._targets.find_link_share(source, len(group)),
        )
        candidates = self._targets.list_targets(source)
        decided = plan.plan_moves(
            engine,
            [self._states.describe(stream) for stream in waiting.values()],
            [state for _, state in candidates],
        )
        for stay in decided.stays:
            self._log.note_stay(waiting[stay.stream.id], stay, time_left_s)
        by_id = {runner.id: runner for runner, _ in candidates}
        for move in decided.moves[: max(0, _MAX_MOVES_AT_ONCE - moving)]:
            stream = waiting[move.stream.id]
            self._log.note_move(stream, move, time_left_s)
            stream.is_moving = True
            order = [by_id[target] for target in move.targets]
            nursery.start_soon(self._try_move, stream, order, move.copy_s)

    async def _try_move(
        self,
        stream: streams.WatchedStream,
        order: Sequence[runners.Runner],
        copy_s: float,
    ) -> None:
        """Move one stream; `order` has the targets to try."""
        outcome: streams.MoveOutcome | None = streams.MoveOutcome.FAILED
        try:
            # Outdated entries would move streams to runners that drain.
            await self._refresh_entries()
            usable = self._targets.list_targets(stream.source)
            usable_ids = {runner.id for runner, _ in usable}
            with self._targets.reserve(order[0]):
                outcome = await self._transfer.move(
                    stream,
                    [one for one in order if one.id in usable_ids],
                    copy_s,
                )
        except Exception as error:  # noqa: BLE001
            # A fault in one move must not end the others.
            trace_lines = traceback.format_exception(error)
            _LOG.write(
                f"Unexpected error in a move: {error!r}.",
                request=stream.current.call.id,
                trace="".join(trace_lines),
            )
        finally:
            stream.is_moving = False
            if outcome is not None:
                self._log.note_not_stopped(stream, outcome)
            if stream.is_over:
                self._free_unused(stream)

    def _free_unused(self, stream: streams.WatchedStream) -> None:
        """Free the copy of a run that ended without being continued from it."""
        copy = stream.copy
        if copy is None or stream.continued is not None:
            return
        stream.copy = None
        # Without the task the copy expires by itself.
        if self._nursery is not None:
            self._nursery.start_soon(
                supervision.run_contained,
                "freeing a copy",
                functools.partial(self._transfer.free, stream.source, copy),
            )


async def _is_stopped(stream: streams.WatchedStream) -> bool:
    """Return whether the source has stopped the run to be moved.

    While the call that stops it has no answer, that is waited for: the stream
    may end before the answer, and its end alone does not tell that the run is
    complete.
    """
    if stream.is_stopping:
        with trio.move_on_after(transfer.LAST_COPY_TIMEOUT_S):
            await stream.call_ended.wait()
    return stream.stopped is not None or (
        stream.may_be_stopped and stream.copy is not None
    )


async def _await_continuation(
    stream: streams.WatchedStream,
) -> exchange.Moved | None:
    """Return where a broken stream goes on, once its last call has ended."""
    limit_s = _COPY_WAIT_S
    if stream.is_stopping:
        limit_s = transfer.LAST_COPY_TIMEOUT_S
    with trio.move_on_after(limit_s):
        await stream.call_ended.wait()
    return stream.find_continuation()
