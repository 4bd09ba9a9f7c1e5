"""Choose the homes of a shared prompt part, whose engines have it cached."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from martenquay_core.serving import calls, runners

__all__ = ["choose_homes", "estimate_uncached", "find_key"]

# A part is hot if one home would get at least this fraction of the requests of
# an average engine for that part alone. Each home of a hot part gets at most
# that; a part that is not hot would be prefilled more often than it saves.
_HOT_FRACTION = 0.5


def find_key(call: calls.Call) -> str | None:
    """Return the id of the innermost shared part; None if nothing is shared.

    The last part belongs to the request alone, so it is the part before it.
    """
    return call.prompt[-2].id if len(call.prompt) > 1 else None


def choose_homes(
    key: str, candidates: list[runners.Runner], zone: str, share: float = 0.0
) -> list[runners.Runner]:
    """Return the homes of a shared part by rendezvous hashing.

    One home serves the whole fleet unless the part is hot. Each zone has homes
    of its own for a hot part, which all daemons of the zone choose alike.

    Args:
        key: Id of the part.
        candidates: The engines; at least one.
        zone: Zone of this daemon.
        share: Share of the daemon's recent requests that have the part.

    Returns:
        The home of the fleet, and further homes in this zone.
    """

    def score(runner: runners.Runner) -> int:
        return rendezvous.score_candidate(key, runner.id)

    homes = [max(candidates, key=score)]
    if share * len(candidates) >= _HOT_FRACTION:
        near = [one for one in candidates if one.zone == zone]
        count = math.ceil(share * len(near) / _HOT_FRACTION)
        ranked = sorted(near, key=score, reverse=True)
        homes += [one for one in ranked[:count] if one is not homes[0]]
    return homes


def estimate_uncached(call: calls.Call, *, is_home: bool) -> int:
    """Return the prompt tokens that a runner likely has not cached.

    The first shared part is common to many prompts, so every runner is assumed
    to have it; later shared parts are only at the prompt's homes.
    """
    shared = call.prompt[:-1]
    cached = shared if is_home else shared[:-1]
    return max(0, (call.tokens_in or 0) - sum(p.tokens for p in cached))
