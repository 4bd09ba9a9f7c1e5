"""Forward calls to plain HTTP services; non-idempotent ones at most once."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.peers import messages
from martenquay_daemon.claims import records

if TYPE_CHECKING:
    from martenquay_core.platform import instances
    from martenquay_core.util import http
    from martenquay_daemon.claims import manager
    from martenquay_daemon.dispatch import registry
    from martenquay_daemon.limits import ejection, retries
    from martenquay_daemon.membership import directory, table
    from martenquay_daemon.routing import loads
    from martenquay_daemon.util import metrics

__all__ = ["ServiceAnswer", "ServiceCall", "ServiceDispatcher"]

_LOG = logs.create_log("routing")
_CLAIM_LOG = logs.create_log("claims")
_DEFAULT_CONTENT_TYPE = "application/octet-stream"
_RETRY_AFTER_S = 2.0
_OUTCOME_POLL_S = 0.25
# A larger answer is not stored; a repeated call learns that the answer is lost.
_MAX_STORED_BODY_BYTES = 16_384
_STATUS_WITHOUT_ANSWER = 0


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call to a plain HTTP service.

    Attributes:
        request_id: ID of the request.
        partner: Partner that owns the pool.
        team: Team that sent the call.
        route: Name of the route.
        pool: Pool of runners that serves the call.
        repeatable: The call may be retried after its answer was lost.
        checks_orders: The service deduplicates idempotency keys itself.
        method: HTTP method.
        path: Path and query below the route.
        headers: Headers to forward.
        body: Request body.
        key: Idempotency key sent by the caller, or None.
        deadline: When the answer is due, on trio's clock.
    """

    request_id: str
    partner: str
    team: str
    route: str
    pool: str
    repeatable: bool
    checks_orders: bool
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    key: str | None
    deadline: float

    def create_claim_key(self) -> str:
        """Return the idempotency key qualified by team and route."""
        return f"{self.team}/{self.route}/{self.key}"

    def create_digest(self) -> str:
        """Return a digest that detects a key reused for another request."""
        content = f"{self.method} {self.path}\n".encode() + self.body
        return hashlib.blake2b(content, digest_size=8).hexdigest()


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """Answer of a service.

    Attributes:
        status: HTTP status.
        content_type: Value of the Content-Type header.
        body: Response body.
        runner: Runner that answered; empty for an answer read from the log.
        zone: Availability zone of that runner.
    """

    status: int
    content_type: str
    body: bytes
    runner: str = ""
    zone: str = ""


_CallResult = Result[ServiceAnswer, results.Failure]


class ServiceDispatcher:
    """Forwards the service calls of one daemon to runners."""

    def __init__(
        self,
        pooled_client: http.HttpClient,
        fresh_client: http.HttpClient,
        runners: directory.RunnerDirectory,
        members: table.MemberTable,
        claims: manager.ClaimManager,
        load_book: loads.LoadBook,
        ejector: ejection.Ejector,
        budget: retries.RetryBudget,
        requests: registry.RequestRegistry,
        counters: metrics.DaemonMetrics,
    ) -> None:
        self._pooled_client = pooled_client
        self._fresh_client = fresh_client
        self._runners = runners
        self._members = members
        self._claims = claims
        self._loads = load_book
        self._ejector = ejector
        self._budget = budget
        self._requests = requests
        self._metrics = counters

    async def call(self, call: ServiceCall) -> _CallResult:
        """Forward a call, with the retries that its route and key allow."""
        match call:
            case ServiceCall(repeatable=True):
                return await self._call_with_retries(call)
            case ServiceCall(key=None) | ServiceCall(checks_orders=True):
                return await self._call_once(call)
            case _:
                return await self._call_with_claim(call)

    async def _call_with_retries(self, call: ServiceCall) -> _CallResult:
        self._budget.note_call()
        tried: set[str] = set()
        last_failure: results.Failure | None = None
        while True:
            runner = self._choose_runner(call, tried)
            if runner is None:
                return Error(last_failure or _create_no_runner_failure(call))
            tried.add(runner.name)
            answer = await self._send(self._pooled_client, call, runner)
            if answer.is_ok():
                return answer.map(
                    lambda found, r=runner: _create_answer(found, r)
                )
            if answer.error.sent:
                # The call may have run, so no later failure may say "not run".
                last_failure = _create_answer_lost_failure(call, runner)
                if not self._budget.take_retry():
                    return Error(last_failure)
            if trio.current_time() >= call.deadline:
                return Error(last_failure or _create_deadline_failure())

    async def _call_once(self, call: ServiceCall) -> _CallResult:
        """Try runners until one may have received the call.

        Only a call that was certainly not sent is tried on the next runner.
        """
        tried: set[str] = set()
        while True:
            runner = self._choose_runner(call, tried)
            if runner is None:
                return Error(_create_no_runner_failure(call))
            tried.add(runner.name)
            answer = await self._send(self._fresh_client, call, runner)
            if answer.is_ok():
                return answer.map(
                    lambda found, r=runner: _create_answer(found, r)
                )
            if answer.error.sent:
                return Error(_create_answer_lost_failure(call, runner))

    async def _call_with_claim(self, call: ServiceCall) -> _CallResult:
        """Claim the idempotency key in the log before making the call.

        The daemon whose claim comes first in the log makes the call. Any other
        daemon returns the winner's answer, or that the outcome is unknown.
        """
        while True:
            claim = records.Claim(
                call.create_claim_key(),
                secrets.token_hex(8),
                self._members.me.member,
                call.create_digest(),
            )
            reply = await self._settle(claim, call.deadline)
            self._record_settlement(call, claim, reply)
            match reply.settlement:
                case messages.Settlement.WON:
                    return await self._call_as_holder(call, claim)
                case messages.Settlement.LOG_DOWN:
                    self._release(claim)
                    return Error(_create_log_down_failure())
                case messages.Settlement.MISMATCH:
                    return Error(_create_key_reused_failure())
                case messages.Settlement.DONE:
                    return _read_stored_answer(reply)
                case _:
                    waited = await self._await_holder_outcome(
                        call, claim, reply
                    )
                    if waited is not None:
                        return waited

    async def _settle(
        self, claim: records.Claim, deadline: float
    ) -> messages.SettleReply:
        log_down = messages.SettleReply(settlement=messages.Settlement.LOG_DOWN)
        with trio.move_on_at(deadline):
            return await self._claims.settle(claim)
        return log_down

    async def _call_as_holder(
        self, call: ServiceCall, claim: records.Claim
    ) -> _CallResult:
        if trio.current_time() >= call.deadline:
            # Settling may have taken longer than the deadline, for example
            # while the process was suspended; the call must not run then.
            self._release(claim)
            return Error(_create_deadline_failure())
        answered = await self._call_once(call)
        if answered.is_ok():
            self._claims.report(_create_outcome(claim, answered.ok))
        elif answered.error.code is results.ResultCode.UNKNOWN_ANSWER_LOST:
            self._claims.report(_create_outcome(claim, None))
        else:
            self._release(claim)
        return answered

    async def _await_holder_outcome(
        self,
        call: ServiceCall,
        claim: records.Claim,
        reply: messages.SettleReply,
    ) -> _CallResult | None:
        """Wait for the key holder's answer; None if it released the key."""
        while trio.current_time() < call.deadline:
            if self._members.is_gone(reply.holder):
                break
            reply = await self._claims.wait_outcome(claim, _OUTCOME_POLL_S)
            match reply.settlement:
                case messages.Settlement.DONE:
                    return _read_stored_answer(reply)
                case messages.Settlement.FREE:
                    return None
                case _:
                    continue
        code = results.ResultCode.UNKNOWN_HOLDER_LOST
        message = f"daemon {reply.holder} held the key and gave no outcome"
        return Error(results.Failure(code, message))

    async def _send(
        self,
        client: http.HttpClient,
        call: ServiceCall,
        runner: instances.Instance,
    ) -> Result[http.Answer, http.CallFailure]:
        self._record_placement(call, runner)
        self._loads.note_placed(runner.name)
        started = trio.current_time()
        service_s = None
        try:
            answer = await client.call(
                call.method,
                f"http://{runner.address}{call.path}",
                headers=call.headers,
                body=call.body,
                timeout_s=max(call.deadline - started, 0.01),
            )
            if answer.is_ok():
                service_s = trio.current_time() - started
                self._ejector.note_success(runner.name)
            else:
                self._ejector.note_failure(runner.name)
        finally:
            self._loads.note_done(runner.name, service_s)
        return answer

    def _choose_runner(
        self, call: ServiceCall, tried: set[str]
    ) -> instances.Instance | None:
        """Return the least loaded runner, preferring this daemon's zone."""
        listed = [
            runner
            for runner in self._runners.list_pool(call.partner, call.pool)
            if runner.name not in tried
            and self._runners.may_get_work(runner.name)
        ]
        names = self._ejector.filter_usable([runner.name for runner in listed])
        usable = [runner for runner in listed if runner.name in names]
        zone = self._members.me.zone
        return min(
            usable,
            key=lambda runner: (
                self._loads.count_ahead(runner.name),
                runner.zone != zone,
                runner.name,
            ),
            default=None,
        )

    def _record_placement(
        self, call: ServiceCall, runner: instances.Instance
    ) -> None:
        ahead = self._loads.count_ahead(runner.name)
        reason = f"{ahead} ahead, fewest in {call.pool}"
        _LOG.write(
            f"Routed call {call.request_id} to runner {runner.name} in "
            f"{runner.zone}: {reason}.",
            request=call.request_id,
            runner=runner.name,
        )
        self._requests.record_placement(
            call.request_id, runner.name, runner.zone, reason
        )
        self._metrics.decisions.inc({"pool": call.pool, "cause": "new"})

    def _record_settlement(
        self,
        call: ServiceCall,
        claim: records.Claim,
        reply: messages.SettleReply,
    ) -> None:
        outcome = reply.settlement.name.lower()
        self._metrics.settled.inc({"settlement": outcome})
        _CLAIM_LOG.write(
            f"Claim {claim.attempt} of call {call.request_id} was settled: "
            f"{outcome}.",
            request=call.request_id,
            holder=reply.holder,
        )

    def _release(self, claim: records.Claim) -> None:
        self._claims.report(records.Release(claim.key, claim.attempt))


def _create_answer(
    answer: http.Answer, runner: instances.Instance
) -> ServiceAnswer:
    content_type = dict(answer.headers).get(b"content-type", b"").decode()
    return ServiceAnswer(
        answer.status,
        content_type or _DEFAULT_CONTENT_TYPE,
        answer.body,
        runner.name,
        runner.zone,
    )


def _create_outcome(
    claim: records.Claim, answer: ServiceAnswer | None
) -> records.Outcome:
    """Return the outcome record of a call.

    Args:
        claim: The claim that won.
        answer: The answer of the service; None if it was lost.
    """
    if answer is None or len(answer.body) > _MAX_STORED_BODY_BYTES:
        answer = ServiceAnswer(_STATUS_WITHOUT_ANSWER, "", b"")
    return records.Outcome(
        claim.key,
        claim.attempt,
        answer.status,
        answer.content_type,
        answer.body,
        claim.request_digest,
    )


def _read_stored_answer(reply: messages.SettleReply) -> _CallResult:
    if reply.status == _STATUS_WITHOUT_ANSWER:
        code = results.ResultCode.UNKNOWN_ANSWER_LOST
        message = "the call was made under this key and its answer is lost"
        return Error(results.Failure(code, message))
    return Ok(ServiceAnswer(reply.status, reply.content_type, reply.body))


def _create_no_runner_failure(call: ServiceCall) -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_NO_RUNNER,
        f"no runner of pool {call.pool} took the call",
        _RETRY_AFTER_S,
    )


def _create_answer_lost_failure(
    call: ServiceCall, runner: instances.Instance
) -> results.Failure:
    return results.Failure(
        results.ResultCode.UNKNOWN_ANSWER_LOST,
        f"runner {runner.name} gave no answer to {call.request_id}",
    )


def _create_log_down_failure() -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_LOG_DOWN,
        "the log, which has to keep the key, does not answer",
        _RETRY_AFTER_S,
    )


def _create_key_reused_failure() -> results.Failure:
    return results.Failure(
        results.ResultCode.KEY_REUSED,
        "the key came before with another request",
    )


def _create_deadline_failure() -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_DEADLINE,
        "the deadline passed before the call was made",
        _RETRY_AFTER_S,
    )
