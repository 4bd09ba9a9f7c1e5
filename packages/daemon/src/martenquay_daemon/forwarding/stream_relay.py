"""Relay the events of a runner's stream to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.engines import model
from martenquay_daemon.forwarding import (
    disconnects,
    event_stream,
    exchange,
    usage_entry,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import calls, runners
    from martenquay_daemon.duties import usage_counts
    from martenquay_daemon.engines import (
        durations,
        loads,
        placer,
        speed_tracker,
    )
    from martenquay_daemon.forwarding import runner_connection

__all__ = ["StreamRelay"]

# An event holds a token or several, and a stream has a few events of other
# kinds, such as comments that keep the connection alive.
_MAX_EVENTS_PER_TOKEN = 2
_MAX_OTHER_EVENTS = 1000


class StreamRelay:
    """Relays streams, and records how long answers and events take."""

    def __init__(
        self,
        usage: usage_counts.UsageCounts,
        estimates: model.RunnerModel,
        streams: durations.StreamDurations,
        speeds: speed_tracker.SpeedTracker,
        note_begun: Callable[[str, str, str], None],
        note_events: Callable[..., None],
    ) -> None:
        """Create the relay.

        Args:
            usage: Counts of started requests.
            estimates: Prefill speed of the engines.
            streams: Durations of streams.
            speeds: Speeds of the engines.
            note_begun: Called with request id, service and software version of
                each stream before its first event is relayed.
            note_events: Called with the request when events have come, and
                with `is_whole` set before the end is relayed, as callers may
                disconnect with it.
        """
        self._note_events = note_events
        self._note_begun = note_begun
        self._usage = usage
        self._model = estimates
        self._streams = streams
        self._speeds = speeds

    async def relay(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        head: calls.AnswerHead,
        connection: runner_connection.RunnerConnection,
        running: loads.Running,
        is_end: Callable[[], Awaitable[bool]],
    ) -> exchange.AttemptResult:
        """Relay each event to the caller once it has arrived completely.

        Args:
            current: The request; its progress is updated.
            placement: The runner and its load estimate.
            head: The head of the runner's answer.
            connection: The connection to the runner.
            running: The request's load at the runner.
            is_end: Returns whether a stream that ends is complete, as opposed
                to stopped by a move.
        """
        splitter = event_stream.EventSplitter(
            is_continued=current.writer.has_started
        )
        try:
            async for chunk in connection.iterate_body():
                problem = await self._take_events(
                    current,
                    placement,
                    head,
                    connection,
                    running,
                    splitter.feed(chunk),
                )
                if problem:
                    return exchange.Broken(problem)
                current.held.resize(splitter.held_bytes)
            problem = await self._take_events(
                current,
                placement,
                head,
                connection,
                running,
                splitter.finish(),
            )
        except event_stream.OversizedEventError as error:
            return exchange.Broken(str(error))
        if problem:
            return exchange.Broken(problem)
        if splitter.is_inside_event:
            return exchange.Broken("the stream ended in the middle of an event")
        if not await is_end():
            return exchange.Broken("the run was stopped to continue elsewhere")
        if not current.writer.has_started:
            return exchange.Broken("the stream ended without an event")
        self._note_events(current, is_whole=True)
        current.stage = disconnects.Stage.DELIVERING
        # Blank lines behind the last event.
        await current.writer.write(splitter.rest)
        await current.writer.finish()
        return exchange.Delivered()

    async def _take_events(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        head: calls.AnswerHead,
        connection: runner_connection.RunnerConnection,
        running: loads.Running,
        events: list[event_stream.Event],
    ) -> str:
        """Record events and relay them; return a problem, or ""."""
        current.attempt_events += len(events)
        if _has_too_many_events(current):
            return (
                f"{current.attempt_events} events came for "
                f"{current.call.tokens_out} tokens"
            )
        self._note_events(current, is_whole=False)
        later_events = len(events) if connection.has_first_event else 0
        first = None if connection.has_first_event else _find_first(events)
        if first is not None:
            connection.has_first_event = True
            running.note_first_event()
            took_s = trio.current_time() - current.sent_at
            self._record_first_event(current, placement, took_s)
            # A moved run was counted where it sent its first event.
            if current.kv_source is None or not current.events_delivered:
                usage_entry.UsageEntry(self._usage, current.team).count()
            later_events = len(events) - first - 1
        if later_events and current.watch is not None:
            self._speeds.note_events(
                current.watch, later_events, trio.current_time()
            )
        return await self._relay_events(
            current, placement.runner, head, connection, events
        )

    def record_slot_time(self, current: exchange.Exchange) -> None:
        """Record how long a complete answer held its slot."""
        # Time before the first event is left out: it includes the wait for a
        # slot, so a queue would make the slots look slower.
        first_event_s = current.first_event_s or 0.0
        held_s = trio.current_time() - current.sent_at - first_event_s
        self._model.note_end(current.service, held_s)
        tokens = current.call.tokens_out
        if tokens and current.first_event_s is not None:
            self._streams.note(
                current.service,
                first_event_s,
                tokens,
                held_s,
                current.attempt_events,
            )

    def _record_first_event(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        took_s: float,
    ) -> None:
        current.first_event_s = took_s
        if current.watch is not None:
            self._speeds.note_first_event(
                current.watch, took_s, trio.current_time()
            )
        # The estimate of the prefill speed excludes waits for a slot, and
        # resumed streams, which prefill their earlier output as well, or
        # continue from a copy.
        is_new = current.events_delivered == 0 and current.kv_source is None
        if placement.has_free_slot and is_new:
            uncached_tokens = placement.uncached_tokens
            result = model.FirstEvent(
                uncached_tokens,
                uncached_tokens + placement.unread_tokens,
                took_s,
                current.urgency,
            )
            self._model.note_first_event(current.service, result)

    async def _relay_events(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        head: calls.AnswerHead,
        connection: runner_connection.RunnerConnection,
        events: list[event_stream.Event],
    ) -> str:
        """Write the events that the caller lacks; return a problem, or ""."""
        new_events = []
        problem = ""
        for event in events:
            # The events before a problem go to the caller, as the next runner
            # goes on after them.
            problem = _find_problem(current, event)
            if problem:
                break
            if event.id is not None:
                current.attempt_event_id = event.id
                last = current.last_event_id
                if last is not None and event.id <= last:
                    # The caller has it from another runner.
                    continue
                current.last_event_id = event.id
            new_events.append(event.raw)
        if not new_events:
            return problem
        if not all(event_stream.is_comment(raw) for raw in new_events):
            connection.note_progress()
        current.stage = disconnects.Stage.STREAMING
        if current.software is None:
            current.software = runner.software
            self._note_begun(
                current.stream_request, current.service, runner.software
            )
        if not current.writer.has_started:
            await current.writer.start(head.status, head.headers, None)
        current.events_delivered += len(new_events)
        await current.writer.write(b"".join(new_events))
        return problem


def _find_problem(current: exchange.Exchange, event: event_stream.Event) -> str:
    """Return why an event must not be passed on or skipped, or ""."""
    if event.id is None:
        return ""
    before = current.attempt_event_id
    if before is not None and event.id <= before:
        return f"event {event.id} follows event {before}; ids have to rise"
    last = current.last_event_id
    if last is not None and event.id > last + 1:
        return f"event {event.id} follows event {last}; some are lost"
    return ""


def _find_first(events: list[event_stream.Event]) -> int | None:
    """Return the index of the first event that is no comment.

    Comments may come while a runner still reads the prompt.
    """
    for index, event in enumerate(events):
        if not event_stream.is_comment(event.raw):
            return index
    return None


def _has_too_many_events(current: exchange.Exchange) -> bool:
    tokens = current.call.tokens_out
    if not tokens:
        return False
    return current.attempt_events > (
        _MAX_EVENTS_PER_TOKEN * tokens + _MAX_OTHER_EVENTS
    )
