"""Copy one run to another engine, and stop it at its source."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import moves
from martenquay_daemon.forwarding import exchange
from martenquay_daemon.migration.stream import Copy, MoveOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from martenquay_core.serving import ports, runners
    from martenquay_daemon.migration import stream as streams

__all__ = ["LAST_COPY_TIMEOUT_S", "Transfer"]

_LOG = logs.create_log("migration")
# Below the two seconds without an event after which callers abandon a stream,
# with time for the request to the target and back to the source.
LAST_COPY_TIMEOUT_S = 1.0
# A copy that takes longer than this factor of the estimate is given up, so
# that the next stream gets its turn.
_SLOW_COPY_FACTOR = 4.0
# Leaves time for four calls in 2.4 s. With 0.3 s a soak on a busy machine had
# three failed calls in a row.
_MIN_COPY_TIMEOUT_S = 0.5
_FREE_TIMEOUT_S = 0.5
# The call in progress is an earlier one whose answer was lost here.
_BUSY_PAUSE_S = 0.03
_BUSY_ATTEMPTS = 10
# The source has stopped the run, so all of its events are on their way; a
# stream that is silent for this long will send none of them.
_CLOSE_SILENCE_S = 0.2
# The same for a stream that sends on: within the two seconds above, the request
# has to reach the target as well.
_MAX_CLOSE_S = 1.0


class Transfer:
    """Moves runs between engines with the engines' own calls."""

    def __init__(self, engines: ports.EnginePort) -> None:
        self._engines = engines

    async def move(
        self,
        stream: streams.WatchedStream,
        targets: Sequence[runners.Runner],
        copy_s: float,
    ) -> MoveOutcome | None:
        """Copy a run while it continues, then stop it and copy the rest.

        Args:
            stream: The stream; its state is updated.
            targets: The engines to try, in this order.
            copy_s: Expected seconds of the first copy.

        Returns:
            Why the run was not stopped; None if it was.
        """
        timeout_s = max(_MIN_COPY_TIMEOUT_S, _SLOW_COPY_FACTOR * copy_s)
        for target in targets:
            answer = await self._call(stream, target, timeout_s)
            match answer:
                case moves.Copied():
                    stream.copy = Copy(target, answer.handle)
                    return await self._stop(stream, target)
                case moves.RunMissing():
                    stream.is_ended_there = True
                    return MoveOutcome.ENDED
                case moves.MoveRefused():
                    stream.current.refused_targets.add(target.id)
                case moves.MoveBusy() | moves.MoveFailed():
                    # It says nothing about the target. The plan is made again,
                    # and a repeated call copies only what is new.
                    return MoveOutcome.FAILED
            if stream.is_over:
                return MoveOutcome.ENDED
        return MoveOutcome.REFUSED

    async def free(self, source: runners.Runner, copy: Copy) -> None:
        """Free a copy that will not be used.

        The source frees both ends; if it does not answer, the target frees its
        own. A copy that nobody frees expires.
        """
        is_free = await self._engines.free_copy(
            source.address, copy.handle, _FREE_TIMEOUT_S
        ) or await self._engines.free_copy(
            copy.target.address, copy.handle, _FREE_TIMEOUT_S
        )
        _LOG.write(
            "Freed a copy that is not needed."
            if is_free
            else "A copy that is not needed could not be freed; it expires.",
            handle=copy.handle,
            runner=source.id,
            target=copy.target.id,
        )

    async def _stop(
        self, stream: streams.WatchedStream, target: runners.Runner
    ) -> MoveOutcome | None:
        if stream.is_over:
            return MoveOutcome.ENDED
        stream.is_stopping = True
        answer = await self._call(
            stream, target, LAST_COPY_TIMEOUT_S, is_last=True
        )
        match answer:
            case moves.Copied(handle=handle):
                stream.copy = Copy(target, handle)
                stream.stopped = exchange.Moved(stream.source, target, handle)
            case moves.MoveRefused(handle=str(handle)):
                stream.current.refused_targets.add(target.id)
                stream.stopped = exchange.Moved(
                    stream.source, stream.source, handle
                )
            case moves.RunMissing():
                stream.is_stopping = False
                stream.is_ended_there = True
                return MoveOutcome.ENDED
            case moves.MoveFailed(is_sent=True):
                stream.is_stopping = False
                stream.may_be_stopped = True
                return MoveOutcome.FAILED
            case _:
                stream.is_stopping = False
                return MoveOutcome.FAILED
        await self._await_close(stream)
        return None

    async def _call(
        self,
        stream: streams.WatchedStream,
        target: runners.Runner,
        timeout_s: float,
        *,
        is_last: bool = False,
    ) -> moves.MoveAnswer:
        """Ask for a copy, again while another call is in progress."""
        order = moves.MoveOrder(stream.current.call.id, target.address, is_last)
        answer: moves.MoveAnswer = moves.MoveBusy()
        stream.call_ended = trio.Event()
        try:
            if not is_last:
                stream.copy_calls += 1
            for _ in range(_BUSY_ATTEMPTS):
                answer = await self._engines.move_run(
                    stream.source.address, order, timeout_s
                )
                if not isinstance(answer, moves.MoveBusy):
                    break
                await trio.sleep(_BUSY_PAUSE_S)
        finally:
            stream.call_ended.set()
        _LOG.write(
            "Asked a leaving runner for "
            + ("the last copy." if is_last else "a copy."),
            request=order.call_id,
            runner=stream.source.id,
            target=target.id,
            is_last=is_last,
            delivered=stream.current.events_delivered,
            answer=str(answer),
        )
        return answer

    async def _await_close(self, stream: streams.WatchedStream) -> None:
        """Let the stream end: the request goes to the target only then."""
        connection = stream.connection
        stopped_at = trio.current_time()
        while not stream.is_over:
            silent_since = max(stopped_at, connection.last_progress_at)
            close_at = min(
                silent_since + _CLOSE_SILENCE_S, stopped_at + _MAX_CLOSE_S
            )
            left_s = close_at - trio.current_time()
            if left_s <= 0:
                _LOG.write(
                    "The source has not closed the stopped stream.",
                    request=stream.current.call.id,
                    runner=stream.source.id,
                )
                connection.stop_reading()
                return
            await trio.sleep(min(left_s, 0.02))
