"""Make the two partners' model workloads, from a seed."""

from __future__ import annotations

import dataclasses
import random

from martenquay_core.config import objects

__all__ = ["Arrival", "Mix", "BUREAU", "FLOWER_SHOP", "make_arrivals"]

_WORDS = 400
_URGENCY = objects.Urgency


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a workload.

    Attributes:
        at: When it comes, in seconds.
        team: Who asks.
        urgency: How long it may wait.
        prompt: The prompt.
        max_tokens: How many tokens it wants.
    """

    at: float
    team: str
    urgency: objects.Urgency
    prompt: str
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class Mix:
    """A partner's workload.

    Attributes:
        name: The partner.
        rate: Requests a second.
        subjects: Customers or orders that requests come back to.
        history_tokens: Range of a subject's history at first.
        turn_tokens: Range of what each request adds to it.
        answer_tokens: Range of an answer's length.
        deferrable_share: Part of the requests that may wait.
        urgent_share: Part of the requests that are urgent.
    """

    name: str
    rate: float
    subjects: int
    history_tokens: tuple[int, int]
    turn_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    deferrable_share: float
    urgent_share: float


# Reviews and quotes from long order histories, and the counter page's chats.
BUREAU = Mix("serrana", 9.0, 60, (500, 3000), (20, 120), (20, 60), 0.45, 0.15)
# Long briefs that planners come back to, care cards, notes to drivers.
FLOWER_SHOP = Mix(
    "lindqvist", 9.0, 45, (800, 3500), (20, 160), (20, 50), 0.15, 0.25
)


def make_arrivals(
    mix: Mix, seconds: float, seed: int, *, rate_factor: float = 1.0
) -> list[Arrival]:
    """Return the requests of a stretch of time, in order."""
    rng = random.Random(f"{mix.name} {seed}")
    histories = [
        _make_text(rng, rng.randint(*mix.history_tokens))
        for _ in range(mix.subjects)
    ]
    # A few subjects are in everyone's hands, many are looked at rarely.
    weights = [1 / (place + 1) ** 0.7 for place in range(mix.subjects)]
    arrivals = []
    at = 0.0
    while True:
        at += rng.expovariate(mix.rate * rate_factor)
        if at >= seconds:
            return arrivals
        subject = rng.choices(range(mix.subjects), weights)[0]
        histories[subject] += " " + _make_text(
            rng, rng.randint(*mix.turn_tokens)
        )
        arrivals.append(
            Arrival(
                at,
                f"team-{subject % 5}",
                _choose_urgency(rng, mix),
                histories[subject],
                rng.randint(*mix.answer_tokens),
            )
        )


def _choose_urgency(rng: random.Random, mix: Mix) -> objects.Urgency:
    drawn = rng.random()
    if drawn < mix.urgent_share:
        return _URGENCY.URGENT
    if drawn < mix.urgent_share + mix.deferrable_share:
        return _URGENCY.DEFERRABLE
    return _URGENCY.INTERACTIVE


def _make_text(rng: random.Random, tokens: int) -> str:
    return " ".join(f"w{rng.randrange(_WORDS)}" for _ in range(tokens))
