"""Keep each service's newest rollout order and its furthest step.

Orders come from the operators' topic, steps from the daemons' topic. The result
does not depend on the sequence in which they are read: a newer order replaces
an older one, and the steps of an order only move forward.
"""

from __future__ import annotations

import dataclasses
import enum

import trio

from martenquay_core import logs
from martenquay_core.serving import positions, rollouts

__all__ = ["Phase", "Rollout", "RolloutRegistry", "Step"]

_LOG = logs.create_log("rollouts")
# Gossip of an order stops after this time; by then each daemon has read it.
_GOSSIP_PERIOD_S = 60.0


class Phase(enum.Enum):
    """How far a rollout has come."""

    # The new version gets a small share of the requests.
    CANARY = "canary"
    # The new version gets all requests; the old one finishes its own.
    SWITCHING = "switching"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether no other phase may follow."""
        return self in {Phase.COMPLETED, Phase.ROLLED_BACK}

    @property
    def rank(self) -> int:
        """Position of the phase; steps never move to a lower or equal rank."""
        ranks = {Phase.CANARY: 0, Phase.SWITCHING: 1}
        return ranks.get(self, 2)

    @property
    def state(self) -> rollouts.RolloutState:
        """The state that operators see."""
        match self:
            case Phase.COMPLETED:
                return rollouts.RolloutState.COMPLETED
            case Phase.ROLLED_BACK:
                return rollouts.RolloutState.ROLLED_BACK
            case _:
                return rollouts.RolloutState.IN_PROGRESS


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a rollout, as stored in the log.

    Attributes:
        service: The service.
        order: Offset of the operator's order.
        version: The version that the order names.
        phase: The phase that begins with this step.
        started_ms: When the order was first seen, in ms since 1970.
        refused: Versions that get no requests: those rolled back, and those of
            orders that were replaced before they were decided.
        why: The reason, for operators.
    """

    service: str
    order: int
    version: str
    phase: Phase
    started_ms: int
    refused: tuple[str, ...] = ()
    why: str = ""


@dataclasses.dataclass
class Rollout:
    """A service's newest order.

    Attributes:
        order: The order.
        offset: Its offset in the operators' topic.
        seen_at: When this daemon learnt of it, in trio's time.
        step: The furthest step; None if the log holds none yet.
    """

    order: rollouts.RolloutOrder
    offset: int
    seen_at: float
    step: Step | None = None

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return Phase.CANARY if self.step is None else self.step.phase


class RolloutRegistry:
    """Rollout orders and steps by service."""

    def __init__(self) -> None:
        self._rollouts: dict[str, Rollout] = {}
        # A step may be read before its order.
        self._steps: dict[str, Step] = {}

    def find(self, service: str) -> Rollout | None:
        """Return a service's newest order, or None."""
        return self._rollouts.get(service)

    def list_all(self) -> list[Rollout]:
        """Return the newest order of each service."""
        return list(self._rollouts.values())

    def has_open(self) -> bool:
        """Return whether any order is undecided."""
        return any(not one.phase.is_final for one in self.list_all())

    def list_recent(self) -> list[Rollout]:
        """Return the orders that other daemons may not have read yet."""
        oldest = trio.current_time() - _GOSSIP_PERIOD_S
        return [one for one in self.list_all() if one.seen_at > oldest]

    def find_last_step(self, service: str) -> Step | None:
        """Return the furthest step of a service's newest order with any."""
        return self._steps.get(service)

    def find_refused(self, service: str) -> set[str]:
        """Return the versions of a service that get no requests."""
        step = self._steps.get(service)
        return set() if step is None else set(step.refused)

    def apply_order(self, offset: int, order: rollouts.RolloutOrder) -> None:
        """Register an operator's order; ignore it if it is older."""
        known = self._rollouts.get(order.service)
        if known is not None and (
            known.offset >= offset or _is_restored(known, offset, order)
        ):
            return
        _LOG.write(
            f"{order.service} is to move to {order.version}.",
            service=order.service,
            version=order.version,
            order=offset,
            duration_s=order.duration_s,
            replaces=known and known.order.version,
        )
        rollout = Rollout(order, offset, trio.current_time())
        self._rollouts[order.service] = rollout
        step = self._steps.get(order.service)
        if step is not None and _is_step_of(step, rollout):
            rollout.step = step

    def apply_step(self, step: Step) -> bool:
        """Register a step; return whether it moves the rollout forward."""
        known = self._steps.get(step.service)
        if known is not None and not _supersedes(known, step):
            return False
        self._steps[step.service] = step
        rollout = self._rollouts.get(step.service)
        if rollout is not None and _is_step_of(step, rollout):
            rollout.step = step
        _LOG.write(
            f"{step.service}: {step.version} is {step.phase.value}.",
            service=step.service,
            version=step.version,
            order=step.order,
            refused=list(step.refused),
            why=step.why,
        )
        return True


def _is_restored(
    known: Rollout, offset: int, order: rollouts.RolloutOrder
) -> bool:
    """Return whether an order is a known one that a restored log lists anew."""
    return known.order == order and not _is_same_era(known.offset, offset)


def _is_step_of(step: Step, rollout: Rollout) -> bool:
    """Return whether a step belongs to an order.

    Daemons that read the order before and after the log was restored know it
    by different offsets.
    """
    if step.order == rollout.offset:
        return True
    return step.version == rollout.order.version and not _is_same_era(
        step.order, rollout.offset
    )


def _supersedes(known: Step, step: Step) -> bool:
    is_same_order = step.order == known.order or (
        step.version == known.version
        and not _is_same_era(step.order, known.order)
    )
    if not is_same_order:
        return step.order > known.order
    return step.phase.rank > known.phase.rank


def _is_same_era(one: int, other: int) -> bool:
    return positions.find_era(one) == positions.find_era(other)
