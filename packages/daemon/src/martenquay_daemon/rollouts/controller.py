"""Advance rollouts from canary to completion or rollback, as lease holder."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import positions, rollouts
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
# A bad version keeps getting requests until it is rolled back, so this bounds
# how many it fails.
_RECONCILE_INTERVAL_S = 0.25
# Remaining lease time needed to start a log call, so that it ends within the
# lease.
_MIN_LEASE_S = 0.5
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class RolloutParts:
    """Dependencies of `RolloutController`.

    Attributes:
        log: The log that holds steps and status.
        topics: Names of their topics.
        codec: Encodes the status for operators.
        follower: Reads the steps' topic.
        lease: The lease that permits decisions.
        orders: Known orders and steps.
        trials: Results of canary trials.
        directory: The known runners.
        ledger: Requests in progress at runners.
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
    """Decides and logs the steps of rollouts and publishes their status."""

    def __init__(
        self,
        parts: RolloutParts,
        read_wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        self._parts = parts
        self._read_wall_clock_s = read_wall_clock_s
        self._fence = 0
        # Era of the log in which all steps are known to be written.
        self._steps_era = 0
        # Orders whose first step this daemon wrote.
        self._started_here: set[tuple[str, int]] = set()
        self._published: dict[str, tuple[int, rollouts.RolloutState]] = {}

    async def run(self) -> None:
        """Reconcile all orders until cancelled."""
        while True:
            await trio.sleep(_RECONCILE_INTERVAL_S)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Advance each order by at most one step."""
        parts = self._parts
        if not parts.orders.list_all() or not parts.lease.is_held(_MIN_LEASE_S):
            return
        if self._fence != parts.lease.fence:
            # Another holder may have written steps since this daemon last read.
            if not await parts.follower.read_now():
                return
            self._fence = parts.lease.fence
            self._published.clear()
        if not await self._write_lost_steps():
            return
        for rollout in parts.orders.list_all():
            await self._advance(rollout)

    async def _write_lost_steps(self) -> bool:
        """Write the steps again after the log was restored.

        Daemons that start later would begin a decided rollout anew.

        Returns:
            Whether the log has the steps.
        """
        parts = self._parts
        if parts.lease.era > positions.find_era(parts.follower.end):
            await parts.follower.read_now()
        era = positions.find_era(parts.follower.end)
        if era <= self._steps_era:
            return True
        steps = [
            one.step for one in parts.orders.list_all() if one.step is not None
        ]
        if steps:
            written = await parts.log.append(
                parts.topics.rollouts,
                [records.encode_step(parts.log, step) for step in steps],
                expected_end=parts.follower.end,
            )
            if written.is_error() or written.ok.offset is None:
                await parts.follower.read_now()
                return False
            parts.follower.skip_to(written.ok.offset + len(steps))
        self._steps_era = era
        return True

    async def _advance(self, rollout: registry.Rollout) -> None:
        step = rollout.step
        if step is None:
            started_ms = int(self._read_wall_clock_s() * _MS_PER_S)
            await self._write_step(
                rollout, registry.Phase.CANARY, started_ms, "the order is read"
            )
            return
        if not step.phase.is_final:
            phase, why = plan.decide_phase(
                self._measure_progress(rollout, step)
            )
            if phase is not step.phase:
                await self._write_step(rollout, phase, step.started_ms, why)
                return
        await self._publish_status(rollout, step)

    def _measure_progress(
        self, rollout: registry.Rollout, step: registry.Step
    ) -> plan.RolloutProgress:
        parts = self._parts
        name = rollout.order.service
        version = rollout.order.version
        usable = parts.directory.list_usable(name)
        # Draining runners still have requests.
        old = [
            one
            for one in parts.directory.list_all(name)
            if one.software != version
        ]
        trial = parts.trials.find(name, rollout.offset)
        return plan.RolloutProgress(
            step.phase,
            self._find_elapsed_s(rollout, step),
            rollout.order.duration_s,
            verdict.judge_trial(trial),
            any(one.software != version for one in usable),
            any(one.software == version for one in usable),
            sum(parts.ledger.find(one.id).requests for one in old),
        )

    def _find_elapsed_s(
        self, rollout: registry.Rollout, step: registry.Step
    ) -> float:
        """Return the time since the order.

        The monotonic clock is used if this daemon has followed the order from
        the start. After a takeover the wall clock, which may jump, is used as
        well.
        """
        monotonic_s = trio.current_time() - rollout.seen_at
        if (step.service, step.order) in self._started_here:
            return monotonic_s
        wall_clock_s = self._read_wall_clock_s() - step.started_ms / _MS_PER_S
        return max(monotonic_s, min(wall_clock_s, rollout.order.duration_s))

    async def _write_step(
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
        # A conditional append fails if a successor has written a step since.
        written = await parts.log.append(
            parts.topics.rollouts,
            [records.encode_step(parts.log, step)],
            expected_end=parts.follower.end,
        )
        match written:
            case Result(tag="ok", ok=done) if done.offset is not None:
                if phase is registry.Phase.CANARY:
                    self._started_here.add((service, rollout.offset))
                parts.follower.skip_to(done.offset + 1)
                parts.orders.apply_step(step)
            case Result(tag="ok"):
                await parts.follower.read_now()
            case _:
                _LOG.write(
                    f"{service}: step {phase.value} may not have been written: "
                    f"{written.error.message}.",
                    service=service,
                    order=rollout.offset,
                )
                # The append may have succeeded although its answer was lost.
                await parts.follower.read_now()

    def _list_refused(
        self, rollout: registry.Rollout, phase: registry.Phase
    ) -> tuple[str, ...]:
        """Return the versions that get no requests from a step on."""
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

    async def _publish_status(
        self, rollout: registry.Rollout, step: registry.Step
    ) -> None:
        """Publish the state to operators, once per state and lease term."""
        parts = self._parts
        service = rollout.order.service
        published_state = (rollout.offset, step.phase.state)
        if self._published.get(service) == published_state:
            return
        status = rollouts.RolloutStatus(
            service, rollout.order.version, step.phase.state
        )
        key, value = parts.codec.encode_rollout_status(status)
        if await self._is_published(key, value):
            self._published[service] = published_state
            return
        if not parts.lease.is_held(_MIN_LEASE_S):
            return
        payload = parts.log.join_keyed(key, value)
        written = await parts.log.append(parts.topics.status, [payload])
        if written.is_error():
            message = written.error.message
            _LOG.write(f"{service}: status not published: {message}.")
            return
        self._published[service] = published_state
        _LOG.write(
            f"{service}: published status {step.phase.state.value}.",
            service=service,
            version=rollout.order.version,
            order=rollout.offset,
            why=step.why,
            fence=self._fence,
        )

    async def _is_published(self, key: str, value: bytes) -> bool:
        """Return whether the status topic already holds this record."""
        found = await self._parts.log.read_newest(self._parts.topics.status)
        match found:
            case Result(tag="ok", ok=snapshot):
                return any(
                    record.key == key and record.value == value
                    for record in snapshot.records
                )
            case _:
                return False
