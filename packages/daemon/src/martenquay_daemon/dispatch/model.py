"""Stream model answers from runners and fail over when a runner is lost."""

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
from martenquay_daemon.dispatch import request_progress, token_sequencer
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
_MAX_BACKOFF_S = 2.0
_CACHE_TRANSFER_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 1.0
_NO_RUNNER_RETRY_AFTER_S = 2.0


class ModelDispatcher:
    """Runs the model requests of one daemon on runners.

    The caller receives one continuous token stream. When a runner is
    reclaimed, the stream continues on another runner from the next token, with
    the KV cache if it can be transferred in time. When a runner fails, the
    next one computes the prompt and the tokens generated so far again.
    """

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
        self._open_streams: dict[
            str, set[request_progress.InterruptibleStream]
        ] = collections.defaultdict(set)

    def move_streams(self, runner: str) -> None:
        """Interrupt a reclaimed runner's streams; they resume on others."""
        for stream in list(self._open_streams.get(runner, ())):
            stream.interrupt()

    async def answer(
        self,
        request: request_progress.ModelRequest,
        sink: request_progress.TokenSink,
    ) -> Result[request_progress.Usage, results.Failure]:
        """Generate the answer into a sink.

        Returns:
            Tokens and attempts used, or why the answer could not be completed
            before the request's deadline.
        """
        usage = request_progress.Usage(blocks.count_tokens(request.prompt))
        self._budget.note_call()
        failure: results.Failure | None = None
        with trio.move_on_at(request.deadline) as deadline_scope:
            block_hashes = blocks.chain_blocks(request.prompt)
            progress = request_progress.RequestProgress(
                request, sink, usage, block_hashes
            )
            failure = await self._try_runners(progress)
        if deadline_scope.cancelled_caught:
            failure = _create_deadline_failure(usage)
        return Error(failure) if failure else Ok(usage)

    async def _try_runners(
        self, progress: request_progress.RequestProgress
    ) -> results.Failure | None:
        while True:
            chosen = self._choose_placement(progress)
            if chosen is None:
                if progress.usage.attempts == 0:
                    return _create_no_runner_failure(progress.request)
                await _back_off(progress)
                continue
            self._record_placement(progress, chosen)
            if progress.cache_source is not None:
                await self._transfer_cache(
                    progress, progress.cache_source, chosen.runner
                )
            result = await self._run_attempt(progress, chosen)
            progress.cache_source = None
            progress.excluded.add(chosen.runner.name)
            match result:
                case request_progress.Finished():
                    return None
                case request_progress.Reclaimed():
                    progress.cache_source = chosen.runner
                    progress.cause = "reclaimed"
                case request_progress.StreamLost(reason=reason):
                    progress.cause = "lost"
                    await self._record_loss(
                        progress.request, chosen.runner, reason
                    )

    def _choose_placement(
        self, progress: request_progress.RequestProgress
    ) -> placement.Placement | None:
        request, usage = progress.request, progress.usage
        return self._placer.place(
            placement.PlacementRequest(
                request.partner,
                request.pool,
                progress.block_hashes,
                usage.prompt_tokens + len(usage.generated),
                frozenset(progress.excluded),
                request.urgency is objects.Urgency.DEFERRABLE,
            )
        )

    def _record_placement(
        self,
        progress: request_progress.RequestProgress,
        chosen: placement.Placement,
    ) -> None:
        request, cause = progress.request, progress.cause
        reason = chosen.explain()
        runner = chosen.runner
        after = f" after its runner was {cause}" if cause else ""
        _LOG.write(
            f"Routed request {request.request_id} to runner {runner.name} in "
            f"{runner.zone}{after}: {reason}.",
            request=request.request_id,
            runner=runner.name,
            candidates=[
                f"{c.runner}:{c.cost_s * 1000:.1f}ms" for c in chosen.considered
            ],
        )
        self._requests.record_placement(
            request.request_id, runner.name, runner.zone, reason + after
        )
        self._metrics.decisions.inc(
            {"pool": request.pool, "cause": cause or "new"}
        )

    async def _record_loss(
        self,
        request: request_progress.ModelRequest,
        runner: instances.Instance,
        reason: str,
    ) -> None:
        _LOG.write(
            f"The stream of request {request.request_id} from runner "
            f"{runner.name} failed: {reason}.",
            request=request.request_id,
            runner=runner.name,
        )
        self._ejector.note_failure(runner.name)
        if not self._budget.take_retry():
            await trio.sleep(request_progress.INITIAL_BACKOFF_S)

    async def _run_attempt(
        self,
        progress: request_progress.RequestProgress,
        chosen: placement.Placement,
    ) -> request_progress.AttemptResult:
        request, usage = progress.request, progress.usage
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
        result: request_progress.AttemptResult = request_progress.StreamLost(
            "the attempt was cancelled"
        )
        try:
            result = await self._relay_stream(progress, chosen, order)
        except engine.StreamLostError as error:
            result = request_progress.StreamLost(str(error))
        finally:
            if isinstance(result, request_progress.Finished):
                service_s = trio.current_time() - usage.started_at
                self._ejector.note_success(runner.name)
            else:
                await self._cancel_request(runner, request.request_id)
            self._loads.note_done(runner.name, service_s)
        return result

    async def _relay_stream(
        self,
        progress: request_progress.RequestProgress,
        chosen: placement.Placement,
        order: orders.GenerateOrder,
    ) -> request_progress.AttemptResult:
        runner = chosen.runner
        sequencer = token_sequencer.TokenSequencer(
            order.request_id, order.attempt, len(order.generated)
        )
        opened_at = trio.current_time()
        async with (
            self._client.generate(
                runner.address, order, _READ_TIMEOUT_S
            ) as stream,
            contextlib.aclosing(stream.iterate()) as events,
        ):
            open_stream = request_progress.InterruptibleStream(events)
            with self._track_stream(runner.name, open_stream):
                while True:
                    event = await open_stream.read()
                    match event:
                        case None:
                            return request_progress.Reclaimed()
                        case _ if not sequencer.matches_attempt(event):
                            continue
                        case orders.StreamStarted():
                            self._record_prefill(
                                progress, chosen, event, opened_at
                            )
                        case orders.TokenEvent():
                            for text in sequencer.add(event):
                                await self._forward_token(
                                    progress, text, opened_at
                                )
                        case orders.StreamFinished(count=count):
                            if sequencer.is_complete(count):
                                return request_progress.Finished()
                            return request_progress.StreamLost(
                                "the stream finished without all its tokens"
                            )

    async def _forward_token(
        self,
        progress: request_progress.RequestProgress,
        text: str,
        opened_at: float,
    ) -> None:
        request, usage = progress.request, progress.usage
        if not usage.generated:
            waited_s = trio.current_time() - opened_at
            self._metrics.first_token_s.observe(
                {"pool": request.pool}, waited_s
            )
        usage.generated.append(text)
        self._requests.set_token_count(request.request_id, len(usage.generated))
        await progress.sink.write_token(text)

    def _record_prefill(
        self,
        progress: request_progress.RequestProgress,
        chosen: placement.Placement,
        event: orders.StreamStarted,
        opened_at: float,
    ) -> None:
        usage, cause = progress.usage, progress.cause
        self._index.note_held(chosen.runner.name, progress.block_hashes)
        computed_tokens = event.prompt_tokens - event.cached_tokens
        usage.started_at = trio.current_time()
        prefill_s = usage.started_at - opened_at
        if chosen.chosen.ahead < chosen.runner.slots:
            self._loads.note_prefill(
                chosen.runner.name, computed_tokens, prefill_s
            )
        recomputed_tokens = (
            computed_tokens
            if cause
            else max(0, chosen.chosen.cached_tokens - event.cached_tokens)
        )
        if recomputed_tokens:
            labels = {"cause": cause or "evicted"}
            self._metrics.recomputed.add(labels, recomputed_tokens)
        if cause:
            usage.recomputed += computed_tokens

    @contextlib.contextmanager
    def _track_stream(
        self, runner: str, open_stream: request_progress.InterruptibleStream
    ) -> Iterator[None]:
        self._open_streams[runner].add(open_stream)
        try:
            yield
        finally:
            self._open_streams[runner].discard(open_stream)
            if not self._open_streams[runner]:
                del self._open_streams[runner]

    async def _transfer_cache(
        self,
        progress: request_progress.RequestProgress,
        source: instances.Instance,
        target: instances.Instance,
    ) -> None:
        """Copy the KV cache to the target if both runners answer in time."""
        request = progress.request
        text = request.prompt + " " + "".join(progress.usage.generated)
        with trio.move_on_after(_CACHE_TRANSFER_TIMEOUT_S):
            exported = await self._client.export_cache(source.address, text)
            if exported.is_ok():
                await self._client.import_cache(target.address, exported.ok)
                _LOG.write(
                    f"Copied the KV cache of request {request.request_id} "
                    f"from runner {source.name} to {target.name}.",
                    request=request.request_id,
                    blocks=len(exported.ok),
                )

    async def _cancel_request(
        self, runner: instances.Instance, request_id: str
    ) -> None:
        with trio.move_on_after(_CANCEL_TIMEOUT_S) as scope:
            # Otherwise the runner keeps generating for a caller that left.
            scope.shield = True
            await self._client.cancel(runner.address, request_id)


def _choose_priority(
    request: request_progress.ModelRequest, chosen: placement.Placement
) -> int:
    """Return the priority in the engine; 0 is the most urgent.

    On a borrowed runner all requests rank below those of its owner.
    """
    borrowed = len(objects.Urgency) if chosen.is_borrowed else 0
    return request.urgency.rank + borrowed


async def _back_off(progress: request_progress.RequestProgress) -> None:
    """Wait with exponential backoff, then make all runners eligible again."""
    progress.excluded.clear()
    await trio.sleep(progress.backoff_s)
    progress.backoff_s = min(progress.backoff_s * 2, _MAX_BACKOFF_S)


def _create_deadline_failure(usage: request_progress.Usage) -> results.Failure:
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


def _create_no_runner_failure(
    request: request_progress.ModelRequest,
) -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_NO_RUNNER,
        f"pool {request.pool} has no runner that may get work",
        _NO_RUNNER_RETRY_AFTER_S,
    )
