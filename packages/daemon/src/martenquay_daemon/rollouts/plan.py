"""Decide the next step of an order from its age and what is known of it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.rollouts import registry

if TYPE_CHECKING:
    from martenquay_daemon.rollouts import verdict

__all__ = ["Situation", "decide_step"]

# Parts of an order's time. A version that turns bad after some seconds shows
# it only to those who wait, and to call a version good by mistake exposes all
# callers: so the trial takes most of the time. Of versions that fail 5 s after
# their first answer, in an order of 12 s at 65 to 400 requests a second, 55 of
# 72 got more requests than the users allow with 0.72, and 39 of 96 with this.
_TRIAL_PART = 0.84
# The old runners stop at once when the order is completed, so what they have
# has to end before that; and it has to be told before the time is over.
_END_PART = 0.94


@dataclasses.dataclass(frozen=True)
class Situation:
    """What is known of an open order.

    Attributes:
        phase: What holds now.
        elapsed_s: Since the order.
        duration_s: Within which it is to be decided.
        verdict: What the answers say.
        has_old: Runners of other versions serve.
        has_new: Runners of its version serve.
        old_requests: Requests that runners of other versions have not ended.
    """

    phase: registry.Phase
    elapsed_s: float
    duration_s: float
    verdict: verdict.Verdict
    has_old: bool
    has_new: bool
    old_requests: int


def decide_step(now: Situation) -> tuple[registry.Phase, str]:
    """Return the phase that is to hold, and why."""
    if now.phase.is_final:
        return now.phase, ""
    if now.verdict.is_bad:
        return registry.Phase.ROLLED_BACK, now.verdict.why
    part = now.elapsed_s / now.duration_s if now.duration_s > 0 else 1.0
    if now.phase is registry.Phase.SWITCHING:
        return _decide_switch(now, part)
    return _decide_trial(now, part)


def _decide_trial(now: Situation, part: float) -> tuple[registry.Phase, str]:
    if part < _TRIAL_PART:
        return registry.Phase.CANARY, ""
    if now.verdict.is_doubtful:
        return registry.Phase.ROLLED_BACK, f"in doubt: {now.verdict.why}"
    if not now.has_new:
        return registry.Phase.ROLLED_BACK, "no runner of it serves"
    if not now.has_old:
        return registry.Phase.COMPLETED, "no runner of another version serves"
    if not now.verdict.has_enough and part < _END_PART:
        return registry.Phase.CANARY, ""
    if not now.verdict.has_enough:
        return registry.Phase.ROLLED_BACK, f"too few answers: {now.verdict.why}"
    return registry.Phase.SWITCHING, now.verdict.why


def _decide_switch(now: Situation, part: float) -> tuple[registry.Phase, str]:
    if now.old_requests == 0 and now.has_new:
        return (
            registry.Phase.COMPLETED,
            "the old runners have ended all they had",
        )
    if part < _END_PART:
        return registry.Phase.SWITCHING, ""
    return (
        registry.Phase.COMPLETED,
        f"{now.old_requests} requests at old runners when time was over",
    )
