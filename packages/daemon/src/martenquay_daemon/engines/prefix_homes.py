"""Choose the home of a shared prompt part, whose engine has it cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from martenquay_core.serving import calls, runners

__all__ = ["choose_home", "estimate_uncached"]


def choose_home(
    call: calls.Call, candidates: list[runners.Runner]
) -> runners.Runner | None:
    """Return the home of the prompt's shared prefix by rendezvous hashing.

    The last part belongs to the request alone, so the key is the part before
    it; all daemons then choose the same home.
    """
    if len(call.prompt) < 2:
        return None
    key = call.prompt[-2].id
    return max(
        candidates, key=lambda one: rendezvous.score_candidate(key, one.id)
    )


def estimate_uncached(call: calls.Call, *, is_home: bool) -> int:
    """Return the prompt tokens that a runner likely has not cached.

    The first shared part is common to many prompts, so every runner is assumed
    to have it; later shared parts are only at the prompt's home.
    """
    shared = call.prompt[:-1]
    cached = shared if is_home else shared[:-1]
    return max(0, (call.tokens_in or 0) - sum(p.tokens for p in cached))
