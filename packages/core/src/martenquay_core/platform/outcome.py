"""Failures of calls to the platform."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.util import http

__all__ = ["Effect", "PlatformFailure", "describe_call_failure"]


class Effect(enum.Enum):
    """Whether a failed call took effect at the platform."""

    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class PlatformFailure:
    """Why a call to the platform failed.

    Attributes:
        effect: Whether the call may have taken effect.
        message: Reason, for the log.
    """

    effect: Effect
    message: str


def describe_call_failure(failure: http.CallFailure) -> PlatformFailure:
    """Convert a failed HTTP call to a platform failure."""
    effect = Effect.UNKNOWN if failure.sent else Effect.NOT_DONE
    return PlatformFailure(effect, failure.message)
