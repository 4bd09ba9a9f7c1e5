"""Decide the phase of a rollout from its age and its canary trial."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.rollouts import registry

if TYPE_CHECKING:
    from martenquay_daemon.rollouts import verdict

__all__ = ["RolloutProgress", "decide_phase"]

# Fraction of the order's duration for the canary phase. It is long, since a
# version may turn bad late and switching exposes all callers.
_CANARY_FRACTION = 0.84
# Fraction of the duration by which a rollout ends; the rest is for writing the
# last step and publishing the status.
_COMPLETION_FRACTION = 0.94


@dataclasses.dataclass(frozen=True)
class RolloutProgress:
    """Facts about an open rollout.

    Attributes:
        phase: The current phase.
        elapsed_s: Time since the order.
        duration_s: Time within which the order is to be decided.
        verdict: Comparison of the new version with the old ones.
        has_old: Runners of other versions serve.
        has_new: Runners of the order's version serve.
        old_requests: Requests in progress at runners of other versions.
    """

    phase: registry.Phase
    elapsed_s: float
    duration_s: float
    verdict: verdict.Verdict
    has_old: bool
    has_new: bool
    old_requests: int


def decide_phase(progress: RolloutProgress) -> tuple[registry.Phase, str]:
    """Return the phase to enter or stay in, and the reason."""
    if progress.phase.is_final:
        return progress.phase, ""
    if progress.verdict.is_bad:
        return registry.Phase.ROLLED_BACK, progress.verdict.why
    elapsed_fraction = (
        progress.elapsed_s / progress.duration_s
        if progress.duration_s > 0
        else 1.0
    )
    if progress.phase is registry.Phase.SWITCHING:
        return _decide_switching(progress, elapsed_fraction)
    return _decide_canary(progress, elapsed_fraction)


def _decide_canary(
    progress: RolloutProgress, elapsed_fraction: float
) -> tuple[registry.Phase, str]:
    if elapsed_fraction < _CANARY_FRACTION:
        return registry.Phase.CANARY, ""
    if progress.verdict.is_doubtful:
        return registry.Phase.ROLLED_BACK, f"in doubt: {progress.verdict.why}"
    if not progress.has_new:
        return registry.Phase.ROLLED_BACK, "no runner of it serves"
    if not progress.has_old:
        return registry.Phase.COMPLETED, "no runner of another version serves"
    if (
        not progress.verdict.has_enough
        and elapsed_fraction < _COMPLETION_FRACTION
    ):
        return registry.Phase.CANARY, ""
    if not progress.verdict.has_enough:
        return (
            registry.Phase.ROLLED_BACK,
            f"too few answers: {progress.verdict.why}",
        )
    return registry.Phase.SWITCHING, progress.verdict.why


def _decide_switching(
    progress: RolloutProgress, elapsed_fraction: float
) -> tuple[registry.Phase, str]:
    if progress.old_requests == 0 and progress.has_new:
        return (
            registry.Phase.COMPLETED,
            "the old runners have ended all they had",
        )
    if elapsed_fraction < _COMPLETION_FRACTION:
        return registry.Phase.SWITCHING, ""
    return (
        registry.Phase.COMPLETED,
        f"{progress.old_requests} requests at old runners when time was over",
    )
