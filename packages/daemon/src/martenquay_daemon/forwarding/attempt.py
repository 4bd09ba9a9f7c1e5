"""Send a request to one runner and relay or return its answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import calls, catalog, signals
from martenquay_daemon.forwarding import (
    disconnects,
    exchange,
    silence,
    silence_limits,
    usage_entry,
)
from martenquay_daemon.forwarding import runner_connection as connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from martenquay_core.serving import ports, runners
    from martenquay_daemon.backpressure import runner_admission
    from martenquay_daemon.duties import usage_counts
    from martenquay_daemon.engines import (
        demand,
        loads,
        placer,
        speed_tracker,
    )
    from martenquay_daemon.forwarding import stream_relay
    from martenquay_daemon.migration import mover
    from martenquay_daemon.overload import backlog

__all__ = ["AttemptMaker"]

_LOG = logs.create_log("forwarding")
_OK = 200
# Callers take these statuses as a promise that the request has not run, so
# they are not relayed unless the runner confirms it.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Shorter than TCP's first retransmission, so that a lost SYN moves the request
# to another runner. Within a region a connection takes a few milliseconds.
_CONNECT_TIMEOUT_S = 0.1
# Lets the runner's own answer at the deadline arrive.
_ANSWER_GRACE_S = 0.08
# Bytes that come for longer and complete nothing are no answer that is late.
_MAX_STALL_S = 0.25
# The load of a prompt that takes at least this long to prefill is gossiped at
# once; until the next regular digest, a quarter of a second later, other
# daemons would send requests that queue behind it and are late.
_LONG_PREFILL_S = 0.05


class AttemptMaker:
    """Sends requests to runners, one runner per attempt."""

    def __init__(
        self,
        codec: ports.CallCodec,
        ledger: loads.LoadLedger,
        usage: usage_counts.UsageCounts,
        meter: demand.DemandMeter,
        notify_soon: Callable[[], None],
        gate: runner_admission.RunnerAdmission,
        speeds: speed_tracker.SpeedTracker,
        backlogs: backlog.BacklogLedger,
        relay: stream_relay.StreamRelay,
        stream_mover: mover.StreamMover | None = None,
        opener: connections.StreamOpener = connections.open_stream,
    ) -> None:
        self._speeds = speeds
        self._backlogs = backlogs
        self._gate = gate
        self._relay = relay
        self._mover = stream_mover
        self._opener = opener
        self._codec = codec
        self._ledger = ledger
        self._usage = usage
        self._meter = meter
        self._notify_soon = notify_soon

    async def make(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        may_retry: Callable[[], bool],
    ) -> exchange.AttemptResult:
        """Send the request to one runner and relay or return its answer.

        Args:
            current: The request; its progress is updated.
            placement: The chosen runner and its load estimate.
            may_retry: Returns whether the retry budget allows one more
                attempt.

        Returns:
            The outcome. A stream that begins is written to the caller; all
            other answers are returned.

        Raises:
            CallerDisconnectedError: The caller disconnected.
        """
        runner = placement.runner
        current.stage = disconnects.Stage.CONNECTING
        current.reported_signals = signals.NO_SIGNALS
        current.relay = ""
        self._note_demand(current, placement)
        result: exchange.AttemptResult = exchange.TimedOut()
        stalled_s = 0.0
        time_limit = trio.move_on_at(current.deadline + _ANSWER_GRACE_S)
        with (
            time_limit,
            self._speeds.watch(
                placement,
                current.service,
                current.urgency,
                is_expected=_has_usual_first_event(current),
            ) as current.watch,
            self._ledger.count(
                runner.id,
                placement.uncached_tokens,
                self._backlogs.begin(
                    current.service, current.urgency, placement.uncached_tokens
                ),
            ) as running,
        ):
            if placement.read_s >= _LONG_PREFILL_S:
                self._notify_soon()
            try:
                async with connections.connect_runner(
                    runner.address,
                    _CONNECT_TIMEOUT_S,
                    max_use_s=current.deadline - trio.current_time(),
                    opener=self._opener,
                ) as connection:
                    current.relay = connection.relay
                    limits = silence_limits.find_silence_limits(
                        current, placement, may_retry
                    )
                    try:
                        result = await self._send_with_liveness_checks(
                            current, placement, connection, running, limits
                        )
                    finally:
                        stalled_s = connection.stalled_s
            except connections.NotConnectedError as error:
                result = exchange.NotSent(str(error))
            except connections.BrokenAnswerError as error:
                result = exchange.Broken(str(error))
        if isinstance(result, exchange.TimedOut) and stalled_s > _MAX_STALL_S:
            return exchange.Broken(
                f"bytes came for {stalled_s:.3f} s and completed nothing"
            )
        return result

    def _note_demand(
        self, current: exchange.Exchange, placement: placer.Placement
    ) -> None:
        """Count the request's tokens as demand, at its first attempt only.

        Counting each attempt would overstate the demand while some runners
        are unreachable, and more runners than needed would be started.
        """
        if not current.attempts and not current.uncounted_attempts:
            self._meter.note(current.service, placement.uncached_tokens)

    async def _send_with_liveness_checks(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        connection: connections.RunnerConnection,
        running: loads.Running,
        limits: silence.SilenceLimits,
    ) -> exchange.AttemptResult:
        """Send and receive; give up on a dead or silent runner if safe.

        A request that may not be repeated waits until its deadline, because
        no other runner may take it over.
        """
        if not current.route.may_repeat:
            return await self._send_and_receive(
                current, placement, connection, running
            )
        result: exchange.AttemptResult = exchange.Broken(
            "the runner is silent and takes no connection"
        )
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal result
                verdict = await silence.wait_until_gone(
                    connection, placement, limits
                )
                match verdict:
                    case silence.Verdict.SILENT:
                        result = exchange.Silent()
                    case silence.Verdict.STALLED:
                        result = exchange.Broken(
                            "the runner's bytes complete no event for too long"
                        )
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                result = await self._send_and_receive(
                    current, placement, connection, running
                )
            except (
                exchange.CallerDisconnectedError,
                connections.BrokenAnswerError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return result

    async def _send_and_receive(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        connection: connections.RunnerConnection,
        running: loads.Running,
    ) -> exchange.AttemptResult:
        current.check_caller()
        # The runner may have reported a limit or a drain since it was chosen.
        problem = self._find_rejection(current, placement.runner)
        if problem:
            return exchange.Withheld(problem)
        current.stage = disconnects.Stage.SENDING
        request = self._create_request(current, placement)
        if current.kv_source is None:
            current.attempts += 1
        current.may_have_run = True
        current.sent_at = trio.current_time()
        current.first_event_s = None
        current.attempt_events = 0
        current.attempt_event_id = None
        current.is_answering = False

        async def send_and_relay(
            is_end: Callable[[], Awaitable[bool]],
        ) -> exchange.AttemptResult:
            return await self._send_and_relay(
                current, placement, connection, running, request, is_end
            )

        if self._mover is None:
            result = await send_and_relay(_confirm_end)
        else:
            result = await self._mover.watch(
                current, placement.runner, connection, send_and_relay
            )
        is_complete = isinstance(result, exchange.Delivered | exchange.Whole)
        # Of a run that continues from a copy only a part is measured here.
        if is_complete and current.kv_source is None:
            self._relay.record_slot_time(current)
        return result

    async def _send_and_relay(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        connection: connections.RunnerConnection,
        running: loads.Running,
        request: connections.RunnerRequest,
        is_end: Callable[[], Awaitable[bool]],
    ) -> exchange.AttemptResult:
        """Send the request and receive its answer.

        `is_end` tells whether a stream that ends is complete, as opposed to
        stopped by a move.
        """
        is_stream = current.route.kind is catalog.CallKind.STREAM
        with self._record_usage(current, is_counted=not is_stream) as usage:
            status, headers = await self._send(current, connection, request)
            head = self._codec.decode_answer(status, headers)
            self._apply_signals(current, placement.runner, head)
            if head.did_not_run:
                usage.undo()
                return exchange.NotRun(status, head.is_wrong_runner)
        problem = _check_head(current.call, head)
        if problem:
            return exchange.Broken(problem)
        if is_stream and status == _OK:
            return await self._relay.relay(
                current, placement, head, connection, running, is_end
            )
        running.note_first_event()
        body = await connection.read_body(current.held.resize)
        return exchange.Whole(head, body)

    def _find_rejection(
        self, current: exchange.Exchange, runner: runners.Runner
    ) -> str:
        """Return why the runner must not get the request now, or ""."""
        source = current.kv_source
        if source is not None and source.address == runner.address:
            # A draining runner takes back the run that it has stopped.
            return ""
        return self._gate.try_admit(runner)

    def _apply_signals(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        head: calls.AnswerHead,
    ) -> None:
        """Apply the runner's signals if the answer is from this runner.

        Another process at its address, or an answer to another request, tells
        nothing about the runner.
        """
        is_from_runner = head.is_sealed or head.did_not_run
        if (
            is_from_runner
            and not head.is_wrong_runner
            and head.call_id in {None, current.call.id}
        ):
            current.reported_signals = head.signals
            self._gate.note_answer(runner, head, current.sent_at)

    def _create_request(
        self, current: exchange.Exchange, placement: placer.Placement
    ) -> connections.RunnerRequest:
        call = current.call
        options = calls.AttemptOptions(
            runner_id=placement.runner.id,
            budget_s=max(0.0, current.deadline - trio.current_time()),
            team=current.team and current.team.name,
            urgency=current.urgency,
            resume_after=current.last_event_id,
            kv_source=current.kv_source,
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
        """Send the request and read the answer's head concurrently.

        A runner may answer before it has read the whole request.
        """
        async with trio.open_nursery() as nursery:
            failure: list[connections.BrokenAnswerError] = []

            async def send() -> None:
                # The runner may stop reading once it has answered.
                with contextlib.suppress(connections.BrokenAnswerError):
                    await connection.send_request(request)
                    current.stage = disconnects.Stage.WAITING

            nursery.start_soon(send)
            try:
                head = await connection.read_head()
            except connections.BrokenAnswerError as error:
                failure.append(error)
            nursery.cancel_scope.cancel()
        if failure:
            raise failure[0]
        current.stage = disconnects.Stage.WAITING
        return head

    @contextlib.contextmanager
    def _record_usage(
        self, current: exchange.Exchange, *, is_counted: bool
    ) -> Iterator[usage_entry.UsageEntry]:
        """Yield the request's usage entry, counted at once if `is_counted`.

        A plain call is counted when it is sent, since the runner does the work
        even if its answer is lost; a stream is counted at its first event.
        """
        usage = usage_entry.UsageEntry(self._usage, current.team)
        if is_counted:
            usage.count()
        yield usage


async def _confirm_end() -> bool:
    return True


def _check_head(call: calls.Call, head: calls.AnswerHead) -> str:
    """Return why an answer must not be relayed, or ""."""
    if head.call_id is not None and head.call_id != call.id:
        return f"the answer belongs to request {head.call_id}"
    if head.status < 300 and not head.is_sealed:
        return "the answer lacks the runner's seal"
    if head.status < 300 and head.is_encoded and not call.accepts_coding:
        return "the body is encoded, which the caller has not asked for"
    if head.status in _NOT_RUN_STATUSES:
        return f"status {head.status}, but not confirmed that it did not run"
    return ""


def _has_usual_first_event(current: exchange.Exchange) -> bool:
    """Return whether the first event comes after the prefill alone.

    A resumed stream prefills its earlier output as well, and a moved one
    continues from a copy.
    """
    is_stream = current.route.kind is catalog.CallKind.STREAM
    is_new = current.events_delivered == 0 and current.kv_source is None
    return is_stream and is_new
