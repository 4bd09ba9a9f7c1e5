"""Lead each order to its end while this daemon holds the lease."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import rollouts
from martenquay_daemon.rollouts import plan, records, registry, verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports, topics
    from martenquay_daemon.discovery import keyed_follower, runner_directory
    from martenquay_daemon.duties import lease
    from martenquay_daemon.engines import loads
    from martenquay_daemon.rollouts import tallies

__all__ = ["RolloutController", "RolloutParts"]

_LOG = logs.create_log("rollouts")
# A bad version goes on getting its share until it is rolled back, and the
# users allow 5 s after its 50th bad answer.
_POLL_S = 0.25
# A log call takes 4 ms; the lease has to outlast it.
_CALL_S = 0.5
_MS = 1000


@dataclasses.dataclass(frozen=True)
class RolloutParts:
    """What a keeper decides with.

    Attributes:
        log: Where steps and status are written.
        topics: Their topics.
        codec: Writes the status for operators.
        follower: Follows the steps.
        lease: The right to decide.
        orders: Orders and steps.
        trials: What was answered.
        directory: The runners.
        ledger: What runs there.
    """

    log: ports.LogPort
    topics: topics.Topics
    codec: ports.PlatformCodec
    follower: keyed_follower.KeyedFollower
    lease: lease.Lease
    orders: registry.RolloutRegistry
    trials: tallies.TallyTable
    directory: runner_directory.RunnerDirectory
    ledger: loads.LoadLedger


class RolloutController:
    """Try, judge, switch or roll back, and tell operators."""

    def __init__(
        self,
        parts: RolloutParts,
        find_wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._parts = parts
        self._find_wall_s = find_wall_s
        self._fence = 0
        # Orders that this daemon has followed from their first step on.
        self._led: set[tuple[str, int]] = set()
        self._told: dict[str, tuple[int, rollouts.RolloutState]] = {}

    async def run(self) -> None:
        """Lead orders until cancelled."""
        while True:
            await trio.sleep(_POLL_S)
            await self.keep()

    async def keep(self) -> None:
        """Look at each order once."""
        parts = self._parts
        if not parts.orders.list_all() or not parts.lease.is_held(_CALL_S):
            return
        if self._fence != parts.lease.fence:
            # Somebody else may have decided since this daemon last read.
            if not await parts.follower.read_now():
                return
            self._fence = parts.lease.fence
            self._told.clear()
        for rollout in parts.orders.list_all():
            await self._keep_one(rollout)

    async def _keep_one(self, rollout: registry.Rollout) -> None:
        step = rollout.step
        if step is None:
            started_ms = int(self._find_wall_s() * _MS)
            await self._write(
                rollout, registry.Phase.CANARY, started_ms, "the order is read"
            )
            return
        if not step.phase.is_final:
            phase, why = plan.decide_step(self._describe(rollout, step))
            if phase is not step.phase:
                await self._write(rollout, phase, step.started_ms, why)
                return
        await self._tell(rollout, step)

    def _describe(
        self, rollout: registry.Rollout, step: registry.Step
    ) -> plan.Situation:
        parts = self._parts
        name = rollout.order.service
        version = rollout.order.version
        usable = parts.directory.list_usable(name)
        # Those that leave still have requests.
        old = [
            one
            for one in parts.directory.list_all(name)
            if one.software != version
        ]
        trial = parts.trials.find(name, rollout.offset)
        return plan.Situation(
            step.phase,
            self._find_elapsed(rollout, step),
            rollout.order.duration_s,
            verdict.judge_trial(trial),
            any(one.software != version for one in usable),
            any(one.software == version for one in usable),
            sum(parts.ledger.find(one.id).requests for one in old),
        )

    def _find_elapsed(
        self, rollout: registry.Rollout, step: registry.Step
    ) -> float:
        """Return the time since the order.

        Who has followed it all along goes by the steady clock; the time of
        day, which may jump, serves only who took over.
        """
        own_s = trio.current_time() - rollout.seen_at
        if (step.service, step.order) in self._led:
            return own_s
        told_s = self._find_wall_s() - step.started_ms / _MS
        return max(own_s, min(told_s, rollout.order.duration_s))

    async def _write(
        self,
        rollout: registry.Rollout,
        phase: registry.Phase,
        started_ms: int,
        why: str,
    ) -> None:
        parts = self._parts
        service = rollout.order.service
        step = registry.Step(
            service,
            rollout.offset,
            rollout.order.version,
            phase,
            started_ms,
            self._list_refused(rollout, phase),
            why,
        )
        # Only behind what this daemon has read: a successor may have decided.
        written = await parts.log.append(
            parts.topics.rollouts,
            [records.encode_step(parts.log, step)],
            expected_end=parts.follower.end,
        )
        match written:
            case Result(tag="ok", ok=done) if done.offset is not None:
                if phase is registry.Phase.CANARY:
                    self._led.add((service, rollout.offset))
                parts.follower.skip_to(done.offset + 1)
                parts.orders.apply_step(step)
            case Result(tag="ok"):
                await parts.follower.read_now()
            case _:
                _LOG.write(
                    f"{service}: {phase.value} is not written yet: "
                    f"{written.error.message}.",
                    service=service,
                    order=rollout.offset,
                )
                # It may have been done all the same.
                await parts.follower.read_now()

    def _list_refused(
        self, rollout: registry.Rollout, phase: registry.Phase
    ) -> tuple[str, ...]:
        service = rollout.order.service
        refused = self._parts.orders.find_refused(service)
        last = self._parts.orders.find_last_step(service)
        is_replaced = last is not None and last.order != rollout.offset
        if is_replaced and not last.phase.is_final:
            refused.add(last.version)
        refused.discard(rollout.order.version)
        if phase is registry.Phase.ROLLED_BACK:
            refused.add(rollout.order.version)
        return tuple(sorted(refused))

    async def _tell(
        self, rollout: registry.Rollout, step: registry.Step
    ) -> None:
        """Tell operators, once in this daemon's term for each state."""
        parts = self._parts
        service = rollout.order.service
        told = (rollout.offset, step.phase.state)
        if self._told.get(service) == told:
            return
        status = rollouts.RolloutStatus(
            service, rollout.order.version, step.phase.state
        )
        key, value = parts.codec.encode_rollout_status(status)
        if await self._is_known(key, value):
            self._told[service] = told
            return
        if not parts.lease.is_held(_CALL_S):
            return
        payload = parts.log.join_keyed(key, value)
        written = await parts.log.append(parts.topics.status, [payload])
        if written.is_error():
            message = written.error.message
            _LOG.write(f"{service}: the status is not told yet: {message}.")
            return
        self._told[service] = told
        _LOG.write(
            f"{service}: operators are told {step.phase.state.value}.",
            service=service,
            version=rollout.order.version,
            order=rollout.offset,
            why=step.why,
            fence=self._fence,
        )

    async def _is_known(self, key: str, value: bytes) -> bool:
        """Tell whether operators have been told the same before."""
        found = await self._parts.log.read_newest(self._parts.topics.status)
        match found:
            case Result(tag="ok", ok=snapshot):
                return any(
                    record.key == key and record.value == value
                    for record in snapshot.records
                )
            case _:
                return False
