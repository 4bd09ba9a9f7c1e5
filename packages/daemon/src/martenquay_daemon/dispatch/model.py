"""Answer model requests: place, stream, and move when a runner goes away.

The caller gets one unbroken run of tokens. When a runner is reclaimed, its
stream goes on elsewhere from the next token, with the KV cache brought along
if there is time; when a runner dies, from the prompt and the tokens so far.
"""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.config import objects
from martenquay_core.runners import engine, orders
from martenquay_core.util import blocks
from martenquay_daemon.dispatch import relay, request_progress
from martenquay_daemon.routing import placement

if TYPE_CHECKING:
    from collections.abc import Iterator

    from martenquay_core.platform import instances
    from martenquay_daemon.dispatch import registry
    from martenquay_daemon.limits import ejection, retries
    from martenquay_daemon.routing import loads, prefixes
    from martenquay_daemon.util import metrics

__all__ = ["ModelDispatcher"]

_LOG = logs.create_log("routing")
_READ_TIMEOUT_S = 10.0
_LONGEST_BACK_OFF_S = 2.0
_MOVE_S = 1.0
_CANCEL_S = 1.0
_NO_RUNNER_RETRY_S = 2.0


class ModelDispatcher:
    """Answer model requests at one daemon."""

    def __init__(
        self,
        client: engine.EngineClient,
        placer: placement.Placer,
        load_book: loads.LoadBook,
        index: prefixes.PrefixIndex,
        ejector: ejection.Ejector,
        budget: retries.RetryBudget,
        requests: registry.RequestRegistry,
        counters: metrics.DaemonMetrics,
    ) -> None:
        self._client = client
        self._placer = placer
        self._loads = load_book
        self._index = index
        self._ejector = ejector
        self._budget = budget
        self._requests = requests
        self._metrics = counters
        self._live: dict[str, set[request_progress.LiveStream]] = (
            collections.defaultdict(set)
        )

    def move_streams(self, runner: str) -> None:
        """Move all streams away from a runner that is leaving."""
        for stream in list(self._live.get(runner, ())):
            stream.move()

    async def answer(
        self,
        request: request_progress.ModelRequest,
        sink: request_progress.TokenSink,
    ) -> Result[request_progress.Usage, results.Failure]:
        """Generate the whole answer into a sink."""
        usage = request_progress.Usage(blocks.count_tokens(request.prompt))
        self._budget.note_call()
        failure: results.Failure | None = None
        with trio.move_on_at(request.deadline) as limit:
            chain = blocks.chain_blocks(request.prompt)
            journey = request_progress.RequestProgress(
                request, sink, usage, chain
            )
            failure = await self._try_runners(journey)
        if limit.cancelled_caught:
            failure = _explain_deadline(usage)
        return Error(failure) if failure else Ok(usage)

    async def _try_runners(
        self, journey: request_progress.RequestProgress
    ) -> results.Failure | None:
        while True:
            chosen = self._place(journey)
            if chosen is None:
                if journey.usage.attempts == 0:
                    return _explain_no_runner(journey.request)
                await _wait_for_runner(journey)
                continue
            self._note_placement(journey, chosen)
            if journey.left is not None:
                await self._bring_cache(journey, journey.left, chosen.runner)
            end = await self._attempt(journey, chosen)
            journey.left = None
            journey.excluded.add(chosen.runner.name)
            match end:
                case request_progress.Finished():
                    return None
                case request_progress.Reclaimed():
                    journey.left = chosen.runner
                    journey.cause = "reclaimed"
                case request_progress.Lost(reason=reason):
                    journey.cause = "lost"
                    await self._note_loss(
                        journey.request, chosen.runner, reason
                    )

    def _place(
        self, journey: request_progress.RequestProgress
    ) -> placement.Placement | None:
        request, usage = journey.request, journey.usage
        return self._placer.place(
            placement.PlacementRequest(
                request.partner,
                request.pool,
                journey.chain,
                usage.prompt_tokens + len(usage.generated),
                frozenset(journey.excluded),
                request.urgency is objects.Urgency.DEFERRABLE,
            )
        )

    def _note_placement(
        self,
        journey: request_progress.RequestProgress,
        chosen: placement.Placement,
    ) -> None:
        request, cause = journey.request, journey.cause
        reason = chosen.explain()
        runner = chosen.runner
        after = f" after its runner was {cause}" if cause else ""
        _LOG.write(
            f"Placed {request.request_id} on {runner.name} in "
            f"{runner.zone}{after}: {reason}.",
            request=request.request_id,
            runner=runner.name,
            candidates=[
                f"{c.runner}:{c.cost_s * 1000:.1f}ms" for c in chosen.considered
            ],
        )
        self._requests.place(
            request.request_id, runner.name, runner.zone, reason + after
        )
        self._metrics.decisions.inc(
            {"pool": request.pool, "cause": cause or "new"}
        )

    async def _note_loss(
        self,
        request: request_progress.ModelRequest,
        runner: instances.Instance,
        reason: str,
    ) -> None:
        _LOG.write(
            f"Lost the stream of {request.request_id} on {runner.name}: "
            f"{reason}.",
            request=request.request_id,
            runner=runner.name,
        )
        self._ejector.note_failure(runner.name)
        if not self._budget.take_retry():
            await trio.sleep(request_progress.FIRST_BACK_OFF_S)

    async def _attempt(
        self,
        journey: request_progress.RequestProgress,
        chosen: placement.Placement,
    ) -> request_progress.AttemptEnd:
        request, usage = journey.request, journey.usage
        runner = chosen.runner
        usage.attempts += 1
        usage.runner, usage.zone = runner.name, runner.zone
        order = orders.GenerateOrder(
            request.request_id,
            usage.attempts,
            request.prompt,
            request.max_tokens,
            _choose_priority(request, chosen),
            list(usage.generated),
        )
        self._loads.note_placed(runner.name)
        service_s: float | None = None
        end: request_progress.AttemptEnd = request_progress.Lost("given up")
        try:
            end = await self._stream(journey, chosen, order)
        except engine.StreamLostError as error:
            end = request_progress.Lost(str(error))
        finally:
            if isinstance(end, request_progress.Finished):
                service_s = trio.current_time() - usage.started_at
                self._ejector.note_success(runner.name)
            else:
                await self._cancel_at(runner, request.request_id)
            self._loads.note_done(runner.name, service_s)
        return end

    async def _stream(
        self,
        journey: request_progress.RequestProgress,
        chosen: placement.Placement,
        order: orders.GenerateOrder,
    ) -> request_progress.AttemptEnd:
        runner = chosen.runner
        sequence = relay.TokenOrder(
            order.request_id, order.attempt, len(order.generated)
        )
        opened = trio.current_time()
        async with (
            self._client.generate(
                runner.address, order, _READ_TIMEOUT_S
            ) as stream,
            contextlib.aclosing(stream.iterate()) as events,
        ):
            live = request_progress.LiveStream(events)
            with self._register(runner.name, live):
                while True:
                    event = await live.read()
                    match event:
                        case None:
                            return request_progress.Reclaimed()
                        case _ if not sequence.is_own(event):
                            continue
                        case orders.StreamStarted():
                            self._note_started(journey, chosen, event, opened)
                        case orders.TokenEvent():
                            for text in sequence.take(event):
                                await self._pass_on(journey, text, opened)
                        case orders.StreamFinished(count=count):
                            if sequence.is_whole(count):
                                return request_progress.Finished()
                            return request_progress.Lost("tokens are missing")

    async def _pass_on(
        self,
        journey: request_progress.RequestProgress,
        text: str,
        opened: float,
    ) -> None:
        request, usage = journey.request, journey.usage
        if not usage.generated:
            waited_s = trio.current_time() - opened
            self._metrics.first_token_s.observe(
                {"pool": request.pool}, waited_s
            )
        usage.generated.append(text)
        self._requests.count_tokens(request.request_id, len(usage.generated))
        await journey.sink.take(text)

    def _note_started(
        self,
        journey: request_progress.RequestProgress,
        chosen: placement.Placement,
        event: orders.StreamStarted,
        opened: float,
    ) -> None:
        usage, cause = journey.usage, journey.cause
        self._index.note_held(chosen.runner.name, journey.chain)
        computed = event.prompt_tokens - event.cached_tokens
        usage.started_at = trio.current_time()
        seconds = usage.started_at - opened
        if chosen.chosen.ahead < chosen.runner.slots:
            self._loads.note_prefill(chosen.runner.name, computed, seconds)
        missing = (
            computed
            if cause
            else max(0, chosen.chosen.cached_tokens - event.cached_tokens)
        )
        if missing:
            labels = {"cause": cause or "evicted"}
            self._metrics.recomputed.add(labels, missing)
        if cause:
            usage.recomputed += computed

    @contextlib.contextmanager
    def _register(
        self, runner: str, live: request_progress.LiveStream
    ) -> Iterator[None]:
        self._live[runner].add(live)
        try:
            yield
        finally:
            self._live[runner].discard(live)
            if not self._live[runner]:
                del self._live[runner]

    async def _bring_cache(
        self,
        journey: request_progress.RequestProgress,
        source: instances.Instance,
        target: instances.Instance,
    ) -> None:
        """Move the KV cache if both runners answer in time."""
        request = journey.request
        text = request.prompt + " " + "".join(journey.usage.generated)
        with trio.move_on_after(_MOVE_S):
            exported = await self._client.export_cache(source.address, text)
            if exported.is_ok():
                await self._client.import_cache(target.address, exported.ok)
                _LOG.write(
                    f"Brought the cache of {request.request_id} from "
                    f"{source.name} to {target.name}.",
                    request=request.request_id,
                    blocks=len(exported.ok),
                )

    async def _cancel_at(
        self, runner: instances.Instance, request_id: str
    ) -> None:
        with trio.move_on_after(_CANCEL_S) as scope:
            scope.shield = True
            await self._client.cancel(runner.address, request_id)


def _choose_priority(
    request: request_progress.ModelRequest, chosen: placement.Placement
) -> int:
    """Return the engine's priority; a lender's own requests come first."""
    borrowed = len(objects.Urgency) if chosen.is_borrowed else 0
    return request.urgency.rank + borrowed


async def _wait_for_runner(journey: request_progress.RequestProgress) -> None:
    """Wait, then try all runners again: the stream has begun."""
    journey.excluded.clear()
    await trio.sleep(journey.back_off_s)
    journey.back_off_s = min(journey.back_off_s * 2, _LONGEST_BACK_OFF_S)


def _explain_deadline(usage: request_progress.Usage) -> results.Failure:
    if usage.attempts == 0:
        return results.Failure(
            results.ResultCode.NOT_RUN_DEADLINE,
            "the deadline passed before a runner was found",
            1.0,
        )
    return results.Failure(
        results.ResultCode.STREAM_BROKEN,
        f"the deadline passed after {len(usage.generated)} tokens",
    )


def _explain_no_runner(
    request: request_progress.ModelRequest,
) -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_NO_RUNNER,
        f"pool {request.pool} has no runner that may get work",
        _NO_RUNNER_RETRY_S,
    )
