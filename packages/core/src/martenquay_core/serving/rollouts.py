"""Rollout orders from operators and the status reported back to them."""

from __future__ import annotations

import dataclasses
import enum

__all__ = ["RolloutOrder", "RolloutState", "RolloutStatus"]


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service's requests to a version.

    Attributes:
        service: Name of the service.
        version: Software version of the runners that get the requests.
        duration_s: Seconds until the rollout must be completed or rolled
            back.
    """

    service: str
    version: str
    duration_s: float


class RolloutState(enum.Enum):
    """Progress of a rollout, as reported to operators."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """Status of a rollout order, as reported to operators.

    Attributes:
        service: Name of the service.
        version: Version in the order.
        state: Progress of the rollout.
    """

    service: str
    version: str
    state: RolloutState
