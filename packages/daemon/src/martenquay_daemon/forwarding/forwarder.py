"""Handle a request: admit it and forward it with retries."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.engines import placer
from martenquay_daemon.forwarding import (
    answers,
    disconnects,
    exchange,
    own_answers,
    request_admission,
    request_log,
)
from martenquay_daemon.overload import request as overload_request

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import calls, ports
    from martenquay_daemon.allowances import gate
    from martenquay_daemon.backpressure import runner_admission
    from martenquay_daemon.discovery import (
        catalog_store,
        refresher,
        runner_directory,
    )
    from martenquay_daemon.forwarding import (
        attempt,
        metrics,
        quarantine_filter,
        retry_window,
        stop_window,
        stream_resumption,
        trial_recorder,
    )
    from martenquay_daemon.limits import caller_budget, ejection
    from martenquay_daemon.migration import handover
    from martenquay_daemon.overload import gate as overload_gate

__all__ = ["Forwarder", "ForwarderParts"]

_LOG = logs.create_log("forwarding")
# Estimates of long waits may be too high by up to this factor, so a request is
# rejected as late only beyond it: 1.7 s were expected where 1.2 s came (95th
# percentile of the worst 4 s).
_MAX_OVERESTIMATE_FACTOR = 1.5
# Bounds the attempts that `max_attempts` does not count, else a request would
# go on to each unreachable runner until its deadline.
_MAX_UNCOUNTED_ATTEMPTS = 4
_MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True)
class ForwarderParts:
    """Dependencies of the forwarder.

    Attributes:
        store: Holds the current catalog.
        directory: The known runners.
        entries: Refreshes runner entries that are too old.
        allowances: Admits requests by their team's quota.
        placer: Chooses the runner of an attempt.
        attempts: Sends a request to a runner.
        retries: Retry budget by service.
        ejector: Ejects failing runners.
        runner_admission: Limits, backoffs and drains that runners reported.
        quarantine: Rejects requests whose content crashes runners.
        stop: Rejects requests that the daemon's stop would cut off.
        resumption: Binds resumed streams to the version that began them.
        trials: Records results of canary trials.
        overload: Rejects requests that engines would start too late; None if
            only those are rejected that miss their deadline.
        handovers: Continues runs that were moved to another runner.
        answer_budget: Bounds what is held of runners' answers.
        metrics: Prometheus metrics.
        codec: Encodes and decodes headers.
        rng: Chooses among a route's weighted destinations.
        wait_until_read: Returns once catalog and runners have been read, or
            after a limit.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    entries: refresher.CopyRefresher
    allowances: gate.AllowanceGate
    placer: placer.Placer
    attempts: attempt.AttemptMaker
    retries: retry_window.RetryWindow
    ejector: ejection.Ejector
    runner_admission: runner_admission.RunnerAdmission
    quarantine: quarantine_filter.QuarantineFilter
    stop: stop_window.StopWindow
    resumption: stream_resumption.StreamResumption
    trials: trial_recorder.TrialRecorder
    overload: overload_gate.OverloadGate | None
    handovers: handover.Handovers
    answer_budget: caller_budget.CallerBudget
    metrics: metrics.ForwardingMetrics
    codec: ports.CallCodec
    rng: random.Random
    wait_until_read: Callable[[], Awaitable[None]]


class Forwarder:
    """Admits requests and forwards them to runners, with retries.

    Implements `caller_connection.CallHandler`.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        self._parts = parts
        self._admission = request_admission.RequestAdmission(
            parts.store,
            parts.quarantine,
            parts.stop,
            parts.resumption,
            parts.allowances,
            parts.rng,
        )
        self._request_log = request_log.RequestLog(parts.store, parts.metrics)

    def reject_early(self, call: calls.Call) -> answers.OwnAnswer | None:
        """Return the answer to a request that would be rejected anyway.

        Args:
            call: The request, still without its body.
        """
        answer = self._admission.reject_unknown(call)
        if answer is not None:
            self._parts.metrics.count_own_answer(answer.code)
        return answer

    async def handle(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> None:
        """Answer one request.

        Args:
            call: The request.
            received_at: When its first byte arrived, on trio's clock.
            writer: Writes the answer to the caller.
        """
        await self._parts.wait_until_read()
        admitted = await self._admission.admit(call, received_at, writer)
        match admitted:
            case answers.OwnAnswer():
                await self._send_own_answer(call, writer, admitted)
            case exchange.Exchange():
                admitted.bound_answers(self._parts.answer_budget)
                with self._parts.stop.track(admitted):
                    await self._forward_until_disconnect(admitted)

    async def _forward_until_disconnect(
        self, current: exchange.Exchange
    ) -> None:
        """Forward until the answer is complete or the caller disconnects."""
        try:
            await self._forward(current)
        except exchange.CallerDisconnectedError:
            self._request_log.log_disconnect(current)
        except trio.BrokenResourceError:
            if current.writer.has_disconnected:
                self._request_log.log_disconnect(current)
            raise
        except trio.Cancelled:
            # The daemon's end cancels as well, while callers are connected.
            if current.writer.has_disconnected:
                self._request_log.log_disconnect(current)
            else:
                self._request_log.log_cut_off(
                    current, self._parts.stop.find_age()
                )
            raise
        finally:
            current.held.release()

    async def _forward(self, current: exchange.Exchange) -> None:
        final = await self._try_runners(current)
        match final:
            case None:
                self._request_log.log_end(current, "delivered", 0)
            case exchange.Whole(head=head) if current.writer.has_started:
                # A runner that gets a moved run may answer with an error.
                current.writer.abort()
                self._request_log.log_end(
                    current, f"cut off: status {head.status}", 0
                )
            case exchange.Whole():
                await self._deliver(current, final)
            case answers.OwnAnswer() if current.writer.has_started:
                current.writer.abort()
                self._request_log.log_end(
                    current, f"cut off: {final.message}", 0
                )
            case answers.OwnAnswer():
                await self._send_own_answer(current.call, current.writer, final)

    async def _deliver(
        self, current: exchange.Exchange, answer: exchange.Whole
    ) -> None:
        """Send a runner's answer, unless it has to make room."""
        current.stage = disconnects.Stage.DELIVERING
        head, body, writer = answer.head, answer.body, current.writer
        current.drop_fallback()
        with current.held.watch():
            current.held.resize(len(body))
            if not current.held.is_refused:
                await writer.start(head.status, head.headers, len(body))
                await writer.write(body)
                await writer.finish()
                self._request_log.log_end(current, "answered", head.status)
                return
        if writer.has_started:
            writer.abort()
            reason = exchange.NoRoom().reason
            self._request_log.log_end(current, f"cut off: {reason}", 0)
            return
        await self._send_own_answer(
            current.call, writer, own_answers.describe_failure(current)
        )

    async def _try_runners(
        self, current: exchange.Exchange
    ) -> exchange.Whole | answers.OwnAnswer | None:
        """Try runners until one answers.

        Returns:
            The answer to send; None if a stream was already relayed.
        """
        parts = self._parts
        parts.retries.count_request(current.service)
        while True:
            placement = parts.handovers.take_placement(
                current
            ) or await self._find_next_placement(current)
            if not isinstance(placement, placer.Placement):
                return placement
            had_run = current.may_have_run
            result = await self._make_attempt(current, placement)
            await parts.quarantine.note_result(
                current, placement.runner, result
            )
            parts.trials.note_result(current, placement.runner, result)
            if isinstance(result, exchange.Delivered | exchange.Whole):
                parts.ejector.note_success(placement.runner.id)
            self._request_log.log_attempt(current, placement, result)
            if parts.handovers.apply(current, placement, result):
                continue
            match result:
                case exchange.Delivered():
                    return None
                case exchange.Whole(head=head):
                    if not self._is_retriable(current, head.status):
                        return result
                    current.keep_fallback(result)
                case exchange.NotSent():
                    current.uncounted_attempts += 1
                case exchange.NotRun():
                    current.may_have_run = had_run
                case exchange.TimedOut():
                    return own_answers.describe_timeout(current)
            self._note_failed_attempt(current, placement.runner.id, result)

    async def _make_attempt(
        self, current: exchange.Exchange, placement: placer.Placement
    ) -> exchange.AttemptResult:
        """Send the request to a runner, unless it has to make room."""
        retries = self._parts.retries
        with current.held.watch():
            return await self._parts.attempts.make(
                current,
                placement,
                lambda: retries.has_retry_left(current.service),
            )
        # The block was cancelled.
        return exchange.NoRoom()

    async def _find_next_placement(
        self, current: exchange.Exchange
    ) -> placer.Placement | exchange.Whole | answers.OwnAnswer:
        """Return the next runner, or the final answer if there is none."""
        parts = self._parts
        current.stage = disconnects.Stage.QUEUED
        current.check_caller()
        if trio.current_time() >= current.deadline:
            return current.fallback_answer or own_answers.describe_timeout(
                current
            )
        is_repeat = current.attempts > 0 or current.misdirected > 0
        if is_repeat and not self._try_spend_retry(current):
            return current.fallback_answer or own_answers.describe_failure(
                current
            )
        # Outdated entries would send requests to runners that drain, for 3.1 s
        # where 2 to 3 s are allowed.
        await parts.entries.refresh()
        hold_s = parts.quarantine.find_quarantine_s(current)
        if hold_s is not None and not current.attempts:
            return own_answers.describe_quarantine(hold_s)
        placement = self._choose_runner(current) if hold_s is None else None
        # The stop may have begun during the waits for quota and entries.
        refusal = (
            None
            if current.may_have_run
            else self._admission.refuse_if_stop_interrupts(current, placement)
        )
        if refusal is not None:
            return refusal
        if placement is None:
            return current.fallback_answer or self._describe_no_runner(current)
        return self._refuse_if_late(current, placement) or placement

    def _refuse_if_late(
        self, current: exchange.Exchange, placement: placer.Placement
    ) -> answers.OwnAnswer | None:
        gate = self._parts.overload
        if gate is None or not gate.covers(
            current.service, current.route.target_s
        ):
            lateness_s = _find_lateness(current, placement)
            if lateness_s <= 0:
                return None
            return own_answers.describe_overload(current, lateness_s)
        # The gate has already admitted a request whose runner was not reached.
        if current.attempts or current.uncounted_attempts:
            return None
        asked = overload_request.create_request(current)
        shed = gate.check(asked, placement)
        return shed and own_answers.describe_shed(current, shed)

    def _describe_no_runner(
        self, current: exchange.Exchange
    ) -> answers.OwnAnswer:
        """Return the answer if no runner accepts the request."""
        parts = self._parts
        usable = parts.directory.list_usable(current.service)
        retry_s = parts.runner_admission.find_retry_s(usable)
        known = parts.directory.list_all(current.service)
        closed = parts.runner_admission.count_unavailable(known)
        _LOG.write(
            f"No runner of {current.service} accepts the request.",
            request=current.call.id,
            known=len(known),
            leaving=closed.leaving,
            resting=closed.resting,
            limited=closed.limited,
            retry_s=retry_s,
        )
        if current.may_have_run or not retry_s:
            return own_answers.describe_failure(current)
        return own_answers.describe_backpressure(current, retry_s)

    def _choose_runner(
        self, current: exchange.Exchange
    ) -> placer.Placement | None:
        if current.uncounted_attempts > _MAX_UNCOUNTED_ATTEMPTS:
            return None
        parts = self._parts
        services = parts.store.table.catalog.services
        current.entries_age_ms = parts.entries.age.note_use()
        return parts.placer.choose(
            services.get(current.service),
            current.service,
            current.call,
            current.excluded_runners,
            current.route.target_s,
            current.software,
        )

    def _note_failed_attempt(
        self,
        current: exchange.Exchange,
        runner_id: str,
        result: exchange.AttemptResult,
    ) -> None:
        """Exclude the runner from later attempts and report the failure."""
        current.excluded_runners.add(runner_id)
        match result:
            case exchange.NotRun(is_wrong_runner=True):
                # Not counted against `max_attempts`, as the chosen runner was
                # not reached; `misdirected` makes the next one a retry.
                current.misdirected += 1
                current.uncounted_attempts += 1
                current.attempts -= 1
                self._parts.directory.note_address_taken(runner_id)
            case exchange.NotSent():
                self._parts.ejector.note_unreachable(runner_id)
            case exchange.Broken():
                self._parts.ejector.note_failure(runner_id)

    def _try_spend_retry(self, current: exchange.Exchange) -> bool:
        """Spend a retry if allowed by route and budget; return whether so."""
        route = current.route
        if current.attempts >= route.max_attempts:
            return False
        if current.may_have_run and not route.may_repeat:
            return False
        return self._parts.retries.try_spend(current.service)

    def _is_retriable(self, current: exchange.Exchange, status: int) -> bool:
        return (
            status >= _MIN_SERVER_ERROR_STATUS
            and current.route.may_repeat
            and current.attempts < current.route.max_attempts
        )

    async def _send_own_answer(
        self,
        call: calls.Call,
        writer: answers.AnswerWriter,
        answer: answers.OwnAnswer,
    ) -> None:
        self._parts.metrics.count_own_answer(answer.code)
        _LOG.write(
            f"Answered {answer.status}: {answer.message}.",
            request=call.id,
            code=int(answer.code),
            retry_after_s=answer.retry_after_s,
            version=self._parts.store.version,
        )
        await answers.send_own_answer(
            writer, self._parts.codec, call.id, answer
        )


def _find_lateness(
    current: exchange.Exchange, placement: placer.Placement
) -> float:
    """Return by how much even an early first event misses the deadline.

    A caller that is rejected at once can retry within its own deadline.

    Returns:
        Seconds; 0 if the first event may come in time.
    """
    if current.attempts or not placement.is_learnt:
        return 0.0
    remaining_s = current.deadline - trio.current_time()
    return max(
        0.0, placement.expected_s / _MAX_OVERESTIMATE_FACTOR - remaining_s
    )
