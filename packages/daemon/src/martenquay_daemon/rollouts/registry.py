"""Remember each service's newest order and how far it has come.

Orders come from the operators' topic and steps from the daemons' own. Both are
folded so that any order of reading ends alike: a newer order replaces an older
one, and the steps of one order only go forward.
"""

from __future__ import annotations

import dataclasses
import enum

import trio

from martenquay_core import logs
from martenquay_core.serving import rollouts

__all__ = ["Phase", "Rollout", "RolloutRegistry", "Step"]

_LOG = logs.create_log("rollouts")
# Who starts reads all orders; who runs hears of a new one from others within a
# second or two, or as soon as a cut is over.
_RECENT_S = 60.0


class Phase(enum.Enum):
    """How far an order has come."""

    # Nothing is decided: the new version gets a small share.
    CANARY = "canary"
    # The new version is good and gets all; the old one ends what it has.
    SWITCHING = "switching"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether no other phase may follow."""
        return self in {Phase.COMPLETED, Phase.ROLLED_BACK}

    @property
    def rank(self) -> int:
        """A step of the same or a lower rank changes nothing."""
        ranks = {Phase.CANARY: 0, Phase.SWITCHING: 1}
        return ranks.get(self, 2)

    @property
    def state(self) -> rollouts.RolloutState:
        """What operators are told."""
        match self:
            case Phase.COMPLETED:
                return rollouts.RolloutState.COMPLETED
            case Phase.ROLLED_BACK:
                return rollouts.RolloutState.ROLLED_BACK
            case _:
                return rollouts.RolloutState.IN_PROGRESS


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of an order, as it lies in the log.

    Attributes:
        service: The service.
        order: The offset of the operator's order.
        version: That it names.
        phase: What holds from now on.
        started_ms: When the order was first seen, in ms since 1970.
        refused: Versions that get nothing: those rolled back, and those of
            orders that were replaced before they were decided.
        why: The reason, for people.
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
        """What holds now."""
        return Phase.CANARY if self.step is None else self.step.phase


class RolloutRegistry:
    """Orders and steps by service."""

    def __init__(self) -> None:
        self._rollouts: dict[str, Rollout] = {}
        # Steps may be read before their order is.
        self._steps: dict[str, Step] = {}

    def find(self, service: str) -> Rollout | None:
        """Return a service's newest order."""
        return self._rollouts.get(service)

    def list_all(self) -> list[Rollout]:
        """Return the newest order of each service."""
        return list(self._rollouts.values())

    def has_open(self) -> bool:
        """Tell whether an order is still to be decided."""
        return any(not one.phase.is_final for one in self.list_all())

    def list_recent(self) -> list[Rollout]:
        """Return the orders that other daemons may not have read yet."""
        oldest = trio.current_time() - _RECENT_S
        return [one for one in self.list_all() if one.seen_at > oldest]

    def find_last_step(self, service: str) -> Step | None:
        """Return a service's furthest step, of whichever order."""
        return self._steps.get(service)

    def find_refused(self, service: str) -> set[str]:
        """Return the versions of a service that get nothing."""
        step = self._steps.get(service)
        return set() if step is None else set(step.refused)

    def apply_order(self, offset: int, order: rollouts.RolloutOrder) -> None:
        """Take an operator's order; an older one changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.offset >= offset:
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
        if step is not None and step.order == offset:
            rollout.step = step

    def apply_step(self, step: Step) -> bool:
        """Take a step; tell whether it leads on."""
        known = self._steps.get(step.service)
        if known is not None and not _leads_on(known, step):
            return False
        self._steps[step.service] = step
        rollout = self._rollouts.get(step.service)
        if rollout is not None and rollout.offset == step.order:
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


def _leads_on(known: Step, step: Step) -> bool:
    if step.order != known.order:
        return step.order > known.order
    return step.phase.rank > known.phase.rank
