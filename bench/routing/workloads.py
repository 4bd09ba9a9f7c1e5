"""Generate the two partners' model workloads from a seed."""

from __future__ import annotations

import dataclasses
import random

from martenquay_core.config import objects

__all__ = ["Arrival", "Workload", "BUREAU", "FLOWER_SHOP", "make_arrivals"]

_VOCABULARY_WORDS = 400
_URGENCY = objects.Urgency


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a workload.

    Attributes:
        at_s: Arrival time in seconds since the start.
        team: Team that sends the request.
        urgency: Urgency of the request.
        prompt: Text of the prompt.
        max_tokens: Length of the answer in tokens.
    """

    at_s: float
    team: str
    urgency: objects.Urgency
    prompt: str
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class Workload:
    """Parameters of a partner's workload.

    Attributes:
        name: Name of the partner.
        requests_per_s: Mean arrival rate.
        conversations: Number of conversations that requests continue.
        history_tokens: Range of a conversation's initial length.
        new_tokens: Range of the tokens that each request appends.
        answer_tokens: Range of an answer's length.
        deferrable_share: Fraction of deferrable requests.
        urgent_share: Fraction of urgent requests.
    """

    name: str
    requests_per_s: float
    conversations: int
    history_tokens: tuple[int, int]
    new_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    deferrable_share: float
    urgent_share: float


BUREAU = Workload(
    "serrana", 9.0, 60, (500, 3000), (20, 120), (20, 60), 0.45, 0.15
)
FLOWER_SHOP = Workload(
    "lindqvist", 9.0, 45, (800, 3500), (20, 160), (20, 50), 0.15, 0.25
)


def make_arrivals(
    workload: Workload,
    duration_s: float,
    seed: int,
    *,
    rate_factor: float = 1.0,
) -> list[Arrival]:
    """Return the requests of `duration_s` seconds by arrival time."""
    rng = random.Random(f"{workload.name} {seed}")
    histories = [
        _make_text(rng, rng.randint(*workload.history_tokens))
        for _ in range(workload.conversations)
    ]
    # Zipf-like popularity: few conversations get most of the requests.
    weights = [1 / (rank + 1) ** 0.7 for rank in range(workload.conversations)]
    arrivals = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(workload.requests_per_s * rate_factor)
        if at_s >= duration_s:
            return arrivals
        conversation = rng.choices(range(workload.conversations), weights)[0]
        histories[conversation] += " " + _make_text(
            rng, rng.randint(*workload.new_tokens)
        )
        arrivals.append(
            Arrival(
                at_s,
                f"team-{conversation % 5}",
                _choose_urgency(rng, workload),
                histories[conversation],
                rng.randint(*workload.answer_tokens),
            )
        )


def _choose_urgency(rng: random.Random, workload: Workload) -> objects.Urgency:
    drawn = rng.random()
    if drawn < workload.urgent_share:
        return _URGENCY.URGENT
    if drawn < workload.urgent_share + workload.deferrable_share:
        return _URGENCY.DEFERRABLE
    return _URGENCY.INTERACTIVE


def _make_text(rng: random.Random, tokens: int) -> str:
    return " ".join(
        f"w{rng.randrange(_VOCABULARY_WORDS)}" for _ in range(tokens)
    )
