"""Answer a request: find its route, let it in, send it to runners."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs, results
from martenquay_daemon.allowances import terms
from martenquay_daemon.engines import placer
from martenquay_daemon.forwarding import (
    answers,
    departure,
    exchange,
    own_answers,
    request_lines,
    retry_detector,
    stop_window,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import calls, catalog, ports
    from martenquay_daemon.allowances import gate
    from martenquay_daemon.backpressure import runner_admission
    from martenquay_daemon.discovery import (
        catalog_store,
        refresher,
        runner_directory,
    )
    from martenquay_daemon.forwarding import (
        attempt,
        content_guard,
        metrics,
        retry_window,
        trial_notes,
    )
    from martenquay_daemon.limits import ejection

__all__ = ["Forwarder", "ForwarderParts"]

_LOG = logs.create_log("forwarding")
_Code = results.ResultCode
_STARTING_RETRY_S = 0.5
# Long waits were expected up to so many times longer than they came (p95 of the
# worst 4 s: 1.7 s expected, 1.2 s real).
_ESTIMATE_OFF = 1.5
# Parts of allowances are lent, and lent anew, within this time; and then there
# has to be time for the answer.
_PATIENCE_S = 1.5
_PATIENT_PART = 0.4
# Connections that do not come up are no attempts, but end somewhere.
_MAX_UNSENT = 4
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True)
class ForwarderParts:
    """What a forwarder decides with.

    Attributes:
        store: The catalog in force.
        directory: The runners.
        entries: Has what is known of the runners read if it is too old.
        allowances: What teams may still spend.
        placer: Chooses runners.
        attempts: Sends to them.
        retries: Bounds what is sent again.
        ejector: Keeps failing runners out.
        runner_admission: Knows what runners say that they take.
        guard: Keeps requests out that crash their runners.
        stop: Keeps requests out that a stop would cut off.
        trials: Notes what versions on trial answer.
        metrics: Counts.
        codec: Names headers.
        rng: Chooses among the destinations of a route.
        wait_until_read: Returns when enough is known to decide.
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
    guard: content_guard.ContentGuard
    stop: stop_window.StopWindow
    trials: trial_notes.TrialNotes
    metrics: metrics.ForwardingMetrics
    codec: ports.CallCodec
    rng: random.Random
    wait_until_read: Callable[[], Awaitable[None]]


class Forwarder:
    """Implement `caller_connection.CallHandler`."""

    def __init__(self, parts: ForwarderParts) -> None:
        self._parts = parts
        self._first_tries = retry_detector.RetryDetector()
        self._lines = request_lines.RequestLines(parts.store, parts.metrics)

    async def handle(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> None:
        """Answer one request."""
        await self._parts.wait_until_read()
        admitted = await self._admit(call, received_at, writer)
        match admitted:
            case answers.OwnAnswer():
                await self._answer(call, writer, admitted)
            case exchange.Exchange():
                await self._forward_while_wanted(admitted)

    async def _admit(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> exchange.Exchange | answers.OwnAnswer:
        parts = self._parts
        table = parts.store.table
        if parts.store.version == 0:
            return answers.create_own_answer(
                _Code.NOT_RUN_STARTING,
                "no configuration is known yet",
                retry_after_s=_STARTING_RETRY_S,
            )
        route = table.find_route(call)
        if route is None:
            message = f"no route for {call.host}{call.path}"
            return answers.create_own_answer(_Code.UNKNOWN_ROUTE, message)
        team = table.find_team(call.key)
        if team is None and table.needs_key(route):
            message = "the key belongs to no team"
            return answers.create_own_answer(_Code.BAD_CREDENTIAL, message)
        budget_s = min(call.budget_s or route.timeout_s, route.timeout_s)
        current = exchange.Exchange(
            call=call,
            route=route,
            team=team,
            service=self._choose_service(route),
            received_at=received_at,
            deadline=received_at + budget_s,
            writer=writer,
            last_event=call.resume_after,
            tried_s=self._first_tries.find_elapsed(route.name, call.budget_s),
        )
        # What is sent to nobody must not cost its team units.
        left_s = self._parts.guard.find_hold(current)
        if left_s is not None:
            return own_answers.describe_quarantine(left_s)
        return (
            self._refuse_overrun(current)
            or await self._refuse_excess(current)
            or current
        )

    def _refuse_overrun(
        self, current: exchange.Exchange
    ) -> answers.OwnAnswer | None:
        request = stop_window.LastRequest(
            current.service,
            current.route.kind,
            current.call.tokens_out,
            current.deadline - trio.current_time(),
        )
        overrun_s = self._parts.stop.find_overrun(request)
        if overrun_s <= 0:
            return None
        return own_answers.describe_stop(overrun_s)

    def _choose_service(self, route: catalog.Route) -> str:
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = [max(0.0, d.weight) for d in route.destinations]
        if not sum(weights):
            return route.destinations[0].service
        chosen = self._parts.rng.choices(route.destinations, weights)
        return chosen[0].service

    async def _refuse_excess(
        self, current: exchange.Exchange
    ) -> answers.OwnAnswer | None:
        team = current.team
        if team is None:
            return None
        wish = terms.AdmissionRequest(
            current.units,
            self._find_reserve(current),
            current.tried_s > current.route.target_s > 0,
            _find_patience(current),
        )
        answer = await self._parts.allowances.acquire(team, wish)
        if answer.is_admitted:
            current.granted = answer
            return None
        units = answer.units
        _LOG.write(
            f"Team {team.name} has no room for {current.units:.0f} units.",
            request=current.call.id,
            team=team.name,
            kept_at=answer.kept_at,
            there=round(units.there),
            owed=round(units.owed),
            part=round(units.part, 3),
            asked=round(units.asked),
            tried_ms=round(current.tried_s * 1000),
            units=current.units,
            rate=team.rate,
            burst=team.burst,
        )
        return answers.create_own_answer(
            _Code.NOT_RUN_OVERLOADED,
            f"team {team.name} is over its allowance",
            retry_after_s=answer.retry_s,
        )

    def _find_reserve(self, current: exchange.Exchange) -> int:
        """Return how many steps of urgency the request leaves room for.

        Calls of plain services cost next to nothing of an allowance that
        counts tokens, so they come first.
        """
        services = self._parts.store.table.catalog.services
        service = services.get(current.service)
        if service is None or service.engine is None:
            return 0
        return 1 + min(current.route.urgency, 1)

    async def _forward_while_wanted(self, current: exchange.Exchange) -> None:
        """Forward until the answer is given or its caller has left."""
        try:
            await self._forward(current)
        except exchange.CallerLeftError:
            self._lines.note_departure(current)
        except (trio.BrokenResourceError, trio.Cancelled):
            # A stop of the daemon cancels too.
            if current.writer.has_left:
                self._lines.note_departure(current)
            raise

    async def _forward(self, current: exchange.Exchange) -> None:
        final = await self._try_runners(current)
        match final:
            case None:
                self._lines.note_end(current, "delivered", 0)
            case exchange.Whole(head=head, body=body):
                await current.writer.start(head.status, head.headers, len(body))
                await current.writer.write(body)
                await current.writer.finish()
                self._lines.note_end(current, "answered", head.status)
            case answers.OwnAnswer() if current.writer.has_started:
                current.writer.abort()
                self._lines.note_end(current, f"cut off: {final.message}", 0)
            case answers.OwnAnswer():
                await self._answer(current.call, current.writer, final)

    async def _try_runners(
        self, current: exchange.Exchange
    ) -> exchange.Whole | answers.OwnAnswer | None:
        """Try runners until one answers; None when a stream is delivered."""
        parts = self._parts
        parts.retries.note_request(current.service)
        while True:
            placement = await self._choose(current)
            if not isinstance(placement, placer.Placement):
                return placement
            had_run = current.may_have_run
            result = await parts.attempts.make(
                current,
                placement,
                lambda: parts.retries.has_room(current.service),
            )
            await parts.guard.note_result(current, placement.runner, result)
            parts.trials.note_result(current, placement.runner, result)
            if isinstance(result, exchange.Delivered | exchange.Whole):
                parts.ejector.note_success(placement.runner.id)
            self._lines.note_attempt(current, placement, result)
            match result:
                case exchange.Delivered():
                    return None
                case exchange.Whole(head=head):
                    if not self._is_worth_repeating(current, head.status):
                        return result
                    current.fallback = result
                case exchange.NotSent():
                    current.unsent += 1
                case exchange.NotRun():
                    current.may_have_run = had_run
                case exchange.TimedOut():
                    return own_answers.describe_timeout(current)
            self._learn(current, placement.runner.id, result)

    async def _choose(
        self, current: exchange.Exchange
    ) -> placer.Placement | exchange.Whole | answers.OwnAnswer:
        """Return the next runner, or the answer if there is to be none."""
        parts = self._parts
        current.stage = departure.Stage.QUEUED
        current.check_caller()
        if trio.current_time() >= current.deadline:
            return current.fallback or own_answers.describe_timeout(current)
        is_repeat = current.attempts > 0 or current.misdirected > 0
        if is_repeat and not self._may_try_again(current):
            return current.fallback or own_answers.describe_failure(current)
        # Else a runner that has said that it leaves may get work for as
        # long as the news of it are under way: 3.1 s with 2 to 3 allowed.
        await parts.entries.refresh()
        left_s = parts.guard.find_hold(current)
        if left_s is not None and not current.attempts:
            return own_answers.describe_quarantine(left_s)
        # Units and entries were waited for; a stop may have begun meanwhile.
        refusal = None if current.attempts else self._refuse_overrun(current)
        if refusal is not None:
            return refusal
        placement = self._place(current) if left_s is None else None
        if placement is None:
            return current.fallback or self._describe_none(current)
        late_s = _find_lateness(current, placement)
        if late_s > 0:
            return own_answers.describe_overload(current, late_s)
        return placement

    def _describe_none(self, current: exchange.Exchange) -> answers.OwnAnswer:
        """Return the answer if there is no runner to send to."""
        parts = self._parts
        usable = parts.directory.list_usable(current.service)
        retry_s = parts.runner_admission.find_retry_s(usable)
        known = parts.directory.list_all(current.service)
        closed = parts.runner_admission.count_unavailable(known)
        _LOG.write(
            f"No runner of {current.service} is left to send to.",
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

    def _place(self, current: exchange.Exchange) -> placer.Placement | None:
        if current.unsent > _MAX_UNSENT:
            return None
        parts = self._parts
        services = parts.store.table.catalog.services
        current.entries_age_ms = parts.entries.age.note_use()
        return parts.placer.choose(
            services.get(current.service),
            current.service,
            current.call,
            current.tried,
            current.route.target_s,
        )

    def _learn(
        self,
        current: exchange.Exchange,
        runner_id: str,
        result: exchange.AttemptResult,
    ) -> None:
        """Take what an attempt without an answer says of its runner."""
        current.tried.add(runner_id)
        match result:
            case exchange.NotRun(is_wrong_runner=True):
                # That was not the runner meant, so it is no attempt; but some
                # runner got it, which the bound on retries counts.
                current.misdirected += 1
                current.unsent += 1
                current.attempts -= 1
                self._parts.directory.note_address_taken(runner_id)
            case exchange.NotSent():
                self._parts.ejector.note_unreachable(runner_id)
            case exchange.Broken():
                self._parts.ejector.note_failure(runner_id)

    def _may_try_again(self, current: exchange.Exchange) -> bool:
        """Tell whether the request may go to one more runner."""
        route = current.route
        if current.attempts >= route.max_attempts:
            return False
        if current.may_have_run and not route.may_repeat:
            return False
        return self._parts.retries.take(current.service)

    def _is_worth_repeating(
        self, current: exchange.Exchange, status: int
    ) -> bool:
        return (
            status >= _SERVER_ERROR
            and current.route.may_repeat
            and current.attempts < current.route.max_attempts
        )

    async def _answer(
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


def _find_patience(current: exchange.Exchange) -> float:
    """Return how long to wait where nothing is known of a team's units."""
    left_s = current.deadline - trio.current_time()
    return min(_PATIENCE_S, _PATIENT_PART * left_s)


def _find_lateness(
    current: exchange.Exchange, placement: placer.Placement
) -> float:
    """Return by how much a first event is sure to come too late; 0 if not.

    The best runner there is was chosen. A caller that is told at once may come
    back in time; one that is held until its deadline cannot.
    """
    if current.attempts or not placement.is_learnt:
        return 0.0
    left_s = current.deadline - trio.current_time()
    return max(0.0, placement.expected_s / _ESTIMATE_OFF - left_s)
