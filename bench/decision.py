"""Measure the time of a routing decision by number of runners."""

from __future__ import annotations

import random
import time

import trio
from absl import app, flags

from bench import figures
from martenquay_core.config import records
from martenquay_core.peers import messages
from martenquay_core.platform import instances
from martenquay_core.util import blocks
from martenquay_daemon.configuration import store
from martenquay_daemon.limits import ejection
from martenquay_daemon.membership import directory, table
from martenquay_daemon.routing import loads, placement, prefixes

_DECISIONS = flags.DEFINE_integer("decisions", 3000, "Decisions a size.")
_RUNNER_COUNTS = (5, 50, 200, 790)
_PROMPT_TOKENS = 600
_PROMPTS = 200


def main(argv: list[str]) -> int:
    """Measure all numbers of runners and print one table."""
    del argv
    trio.run(_print_table)
    return 0


async def _print_table() -> None:
    rows = []
    for runner_count in _RUNNER_COUNTS:
        hashing_s, decision_s = _measure_decisions(runner_count)
        rows.append(
            [
                str(runner_count),
                f"{figures.compute_percentile(decision_s, 50) * 1e6:.0f}",
                f"{figures.compute_percentile(decision_s, 99) * 1e6:.0f}",
                f"{figures.compute_percentile(hashing_s, 50) * 1e6:.0f}",
            ]
        )
    figures.print_table(
        ["runners", "decision p50 us", "p99 us", "prompt hashing p50 us"],
        rows,
    )


def _measure_decisions(runner_count: int) -> tuple[list[float], list[float]]:
    """Return the seconds of prompt hashing and of placement, per decision."""
    rng = random.Random(runner_count)
    placer, load_book, index, names = _build_placer(runner_count, rng)
    prompts = [
        " ".join(f"w{rng.randrange(999)}" for _ in range(_PROMPT_TOKENS))
        for _ in range(_PROMPTS)
    ]
    for prompt in prompts:
        index.note_held(rng.choice(names), blocks.chain_blocks(prompt))
    hashing_s: list[float] = []
    decision_s: list[float] = []
    for decision in range(_DECISIONS.value):
        prompt = prompts[decision % _PROMPTS]
        started_at = time.perf_counter()
        chain = blocks.chain_blocks(prompt)
        hashed_at = time.perf_counter()
        request = placement.PlacementRequest(
            "serrana", "model", chain, _PROMPT_TOKENS
        )
        chosen = placer.place(request)
        decided_at = time.perf_counter()
        hashing_s.append(hashed_at - started_at)
        decision_s.append(decided_at - hashed_at)
        assert chosen is not None
        load_book.note_placed(chosen.runner.name)
        load_book.note_done(chosen.runner.name, 1.0)
    return hashing_s, decision_s


def _build_placer(
    runner_count: int, rng: random.Random
) -> tuple[placement.Placer, loads.LoadBook, prefixes.PrefixIndex, list[str]]:
    config = store.ConfigStore(["serrana"], records.create_verifier({}))
    own_update = messages.MemberUpdate(
        member="entry-1.aa", partner="serrana", zone="zone-0", address=""
    )
    runners = directory.RunnerDirectory(
        config, table.MemberTable(own_update, 5)
    )
    runners.replace_all(
        [
            instances.Instance(
                f"runner-{number}",
                instances.InstanceKind.RUNNER,
                "serrana",
                f"zone-{number % 7}",
                f"10.0.{number // 250}.{number % 250}",
                pool="model",
            )
            for number in range(runner_count)
        ]
    )
    load_book = loads.LoadBook()
    index = prefixes.PrefixIndex()
    placer = placement.Placer(
        "zone-0", runners, load_book, index, ejection.Ejector(), rng
    )
    return (
        placer,
        load_book,
        index,
        [f"runner-{n}" for n in range(runner_count)],
    )


if __name__ == "__main__":
    app.run(main)
