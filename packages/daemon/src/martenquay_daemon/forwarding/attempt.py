"""Send a request to one runner and take its answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import calls, catalog, signals
from martenquay_daemon.engines import model
from martenquay_daemon.forwarding import (
    begins,
    departure,
    event_stream,
    exchange,
    silence,
    silence_limits,
)
from martenquay_daemon.forwarding import runner_connection as connections

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from martenquay_core.serving import ports, runners
    from martenquay_daemon.backpressure import runner_admission
    from martenquay_daemon.duties import usage_counts
    from martenquay_daemon.engines import demand, durations, loads, placer

__all__ = ["AttemptMaker"]

_LOG = logs.create_log("forwarding")
_OK = 200
# Statuses that promise that a request has not run. From a runner that does
# not confirm it they prove nothing and must not be passed on.
_PROMISES = frozenset({408, 421, 429, 503})
# A connection inside a region takes a few ms; one that is not up by then
# waits for a runner without power or with a full queue of connections, or
# lost its first packet, which is sent again after a second only.
_CONNECT_S = 0.1
# The runner's own word at the deadline is better than none, and needs the
# way back.
_ANSWER_GRACE_S = 0.08
_MAX_URGENCY = 9
# A prompt that takes an engine so long is told to other daemons at once: by
# their next regular news, a quarter of a second later, it is mostly read, and
# whoever was sent behind it meanwhile was late.
_TELL_READ_S = 0.05


class AttemptMaker:
    """Make attempts at runners."""

    def __init__(
        self,
        codec: ports.CallCodec,
        ledger: loads.LoadLedger,
        usage: usage_counts.UsageCounts,
        meter: demand.DemandMeter,
        estimates: model.RunnerModel,
        streams: durations.StreamDurations,
        notify_soon: Callable[[], None],
        gate: runner_admission.RunnerAdmission,
    ) -> None:
        self._gate = gate
        self._codec = codec
        self._ledger = ledger
        self._usage = usage
        self._meter = meter
        self._model = estimates
        self._streams = streams
        self._hurry = notify_soon

    async def make(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        may_move: Callable[[], bool],
    ) -> exchange.AttemptResult:
        """Send the request once and relay or return the answer.

        Args:
            current: The request.
            placement: The runner.
            may_move: Whether it might be sent once more.
        """
        runner = placement.runner
        current.stage = departure.Stage.CONNECTING
        current.told = signals.NO_SIGNALS
        self._note_demand(current, placement)
        result: exchange.AttemptResult = exchange.TimedOut()
        limit = trio.move_on_at(current.deadline + _ANSWER_GRACE_S)
        with (
            limit,
            self._ledger.count(runner.id, placement.uncached_tokens) as running,
        ):
            if placement.read_s >= _TELL_READ_S:
                self._hurry()
            try:
                async with connections.connect_runner(
                    runner.address,
                    _CONNECT_S,
                    lasts_s=current.deadline - trio.current_time(),
                ) as connection:
                    bounds = silence_limits.find_silence_limits(
                        current, placement, may_move
                    )
                    result = await self._talk_while_there(
                        current, placement, connection, running, bounds
                    )
            except connections.NotConnectedError as error:
                result = exchange.NotSent(str(error))
            except connections.BrokenAnswerError as error:
                result = exchange.Broken(str(error))
        return result

    def _note_demand(
        self, current: exchange.Exchange, placement: placer.Placement
    ) -> None:
        """Note what the request asks of engines, once.

        With a zone cut off a request tries several runners that take no
        connection. Counted each time, demand seemed to double, and five
        reclaimable and four on-demand runners too many were ordered.
        """
        if not current.attempts and not current.unsent:
            self._meter.note(current.service, placement.uncached_tokens)

    async def _talk_while_there(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        connection: connections.RunnerConnection,
        running: loads.Running,
        bounds: silence.SilenceLimits,
    ) -> exchange.AttemptResult:
        """Talk, but give a runner up that is gone if another may take over."""
        if not current.route.may_repeat:
            return await self._talk(current, placement, connection, running)
        result: exchange.AttemptResult = exchange.Broken("the runner is gone")
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal result
                verdict = await silence.wait_until_gone(
                    connection, placement, bounds
                )
                if verdict is silence.Verdict.SILENT:
                    result = exchange.Silent()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                result = await self._talk(
                    current, placement, connection, running
                )
            except (
                exchange.CallerLeftError,
                connections.BrokenAnswerError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return result

    async def _talk(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        connection: connections.RunnerConnection,
        running: loads.Running,
    ) -> exchange.AttemptResult:
        current.check_caller()
        # The runner may have spoken since it was chosen.
        problem = self._gate.try_admit(placement.runner)
        if problem:
            return exchange.Withheld(problem)
        current.stage = departure.Stage.SENDING
        request = self._create_request(current, placement)
        current.attempts += 1
        current.may_have_run = True
        current.sent_at = trio.current_time()
        current.first_event_s = None
        is_stream = current.route.kind is catalog.CallKind.STREAM
        with self._count_begin(current, is_counted=not is_stream) as begin:
            status, headers = await self._send(current, connection, request)
            head = self._codec.decode_answer(status, headers)
            self._heed(current, placement.runner, head)
            if head.did_not_run:
                begin.take_back()
                return exchange.NotRun(status, head.is_wrong_runner)
        problem = _check_head(current.call, head)
        if problem:
            return exchange.Broken(problem)
        if is_stream and status == _OK:
            result = await self._relay(
                current, placement, head, connection, running
            )
        else:
            running.note_first_event()
            body = await connection.read_body()
            result = exchange.Whole(head, body)
        if isinstance(result, exchange.Delivered | exchange.Whole):
            self._learn_end(current)
        return result

    def _heed(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        head: calls.AnswerHead,
    ) -> None:
        """Take what the runner says of itself, if it is the one meant.

        Whoever else has its address, or answers late in place of another, says
        nothing of this runner.
        """
        is_own_word = head.is_sealed or head.did_not_run
        if (
            is_own_word
            and not head.is_wrong_runner
            and head.call_id in {None, current.call.id}
        ):
            current.told = head.signals
            self._gate.note_answer(runner, head, current.sent_at)

    def _learn_end(self, current: exchange.Exchange) -> None:
        # Before a first event a request may wait for a slot, which would
        # make slots look slower the longer the queue is.
        begin_s = current.first_event_s or 0.0
        held_s = trio.current_time() - current.sent_at - begin_s
        self._model.note_end(current.service, held_s)
        tokens = current.call.tokens_out
        if tokens and current.first_event_s is not None:
            self._streams.note(current.service, begin_s, tokens, held_s)

    def _create_request(
        self, current: exchange.Exchange, placement: placer.Placement
    ) -> connections.RunnerRequest:
        call = current.call
        options = calls.AttemptOptions(
            runner_id=placement.runner.id,
            budget_s=max(0.0, current.deadline - trio.current_time()),
            team=current.team and current.team.name,
            urgency=_find_urgency(current),
            resume_after=current.last_event,
        )
        return connections.RunnerRequest(
            call.method,
            call.target,
            self._codec.encode_attempt(call, options),
            call.body,
        )

    async def _send(
        self,
        current: exchange.Exchange,
        connection: connections.RunnerConnection,
        request: connections.RunnerRequest,
    ) -> tuple[int, calls.Headers]:
        """Send while reading: a runner may answer before it has it all."""
        async with trio.open_nursery() as nursery:
            failure: list[connections.BrokenAnswerError] = []

            async def send() -> None:
                # A runner that has answered need not read the rest.
                with contextlib.suppress(connections.BrokenAnswerError):
                    await connection.send_request(request)
                    current.stage = departure.Stage.WAITING

            nursery.start_soon(send)
            try:
                head = await connection.read_head()
            except connections.BrokenAnswerError as error:
                failure.append(error)
            nursery.cancel_scope.cancel()
        if failure:
            raise failure[0]
        current.stage = departure.Stage.WAITING
        return head

    @contextlib.contextmanager
    def _count_begin(
        self, current: exchange.Exchange, *, is_counted: bool
    ) -> Iterator[begins.Begin]:
        """Count a plain call as begun from its sending on.

        Its answer may be lost, and the work is done all the same.
        """
        begin = begins.Begin(self._usage, current.team)
        if is_counted:
            begin.note()
        yield begin

    async def _relay(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        head: calls.AnswerHead,
        connection: connections.RunnerConnection,
        running: loads.Running,
    ) -> exchange.AttemptResult:
        """Pass events on as they come, each whole and in its order."""
        splitter = event_stream.EventSplitter()
        is_begun = False
        async for piece in connection.iterate_body():
            events = splitter.feed(piece)
            if events and not is_begun:
                is_begun = True
                connection.has_begun = True
                running.note_first_event()
                took_s = trio.current_time() - current.sent_at
                self._learn_first_event(current, placement, took_s)
                begins.Begin(self._usage, current.team).note()
            problem = await self._pass_on(current, head, events)
            if problem:
                return exchange.Broken(problem)
        if splitter.rest:
            return exchange.Broken("ended in the middle of an event")
        if not current.writer.has_started:
            return exchange.Broken("ended without an event")
        await current.writer.finish()
        return exchange.Delivered()

    def _learn_first_event(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        took_s: float,
    ) -> None:
        current.first_event_s = took_s
        # A wait for a slot says nothing of reading, and a stream that goes on
        # elsewhere reads what it has already sent as well.
        if placement.has_free_slot and current.events == 0:
            own = placement.uncached_tokens
            result = model.FirstEvent(
                own,
                own + placement.unread_tokens,
                took_s,
                _find_urgency(current),
            )
            self._model.note_first_event(current.service, result)

    async def _pass_on(
        self,
        current: exchange.Exchange,
        head: calls.AnswerHead,
        events: list[event_stream.Event],
    ) -> str:
        """Pass on the next events; return what is wrong, or nothing."""
        wanted = []
        for event in events:
            last = current.last_event
            if event.id is not None and last is not None:
                if event.id <= last:
                    continue
                if event.id > last + 1:
                    return f"event {event.id} came after event {last}"
            if event.id is not None:
                current.last_event = event.id
            wanted.append(event.raw)
        if not wanted:
            return ""
        current.stage = departure.Stage.STREAMING
        if not current.writer.has_started:
            await current.writer.start(head.status, head.headers, None)
        current.events += len(wanted)
        await current.writer.write(b"".join(wanted))
        return ""


def _check_head(call: calls.Call, head: calls.AnswerHead) -> str:
    """Return why an answer cannot be used, or nothing."""
    if head.call_id is not None and head.call_id != call.id:
        return f"an answer to request {head.call_id}"
    if head.status < 300 and not head.is_sealed:
        return "an answer that no runner vouches for"
    if head.status in _PROMISES:
        return f"status {head.status} without word that it did not run"
    return ""


def _find_urgency(current: exchange.Exchange) -> int:
    team = current.team
    urgency = current.route.urgency
    if team is not None and team.urgency is not None:
        urgency = team.urgency
    return min(max(urgency, 0), _MAX_URGENCY)
