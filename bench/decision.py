"""Time one routing decision at different numbers of runners."""

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
_SIZES = (5, 50, 200, 790)
_PROMPT_TOKENS = 600
_SUBJECTS = 200


def main(argv: list[str]) -> int:
    """Time all sizes in one run and print one table."""
    del argv
    trio.run(_run)
    return 0


async def _run() -> None:
    rows = []
    for size in _SIZES:
        hashing, deciding = _time_decisions(size)
        rows.append(
            [
                str(size),
                f"{figures.compute_percentile(deciding, 50) * 1e6:.0f}",
                f"{figures.compute_percentile(deciding, 99) * 1e6:.0f}",
                f"{figures.compute_percentile(hashing, 50) * 1e6:.0f}",
            ]
        )
    figures.print_table(
        ["runners", "decision p50 us", "p99 us", "prompt hashing p50 us"],
        rows,
    )


def _time_decisions(size: int) -> tuple[list[float], list[float]]:
    rng = random.Random(size)
    placer, load_book, index, names = _build(size, rng)
    prompts = [
        " ".join(f"w{rng.randrange(999)}" for _ in range(_PROMPT_TOKENS))
        for _ in range(_SUBJECTS)
    ]
    for prompt in prompts:
        index.note_held(rng.choice(names), blocks.chain_blocks(prompt))
    hashing: list[float] = []
    deciding: list[float] = []
    for number in range(_DECISIONS.value):
        prompt = prompts[number % _SUBJECTS]
        started = time.perf_counter()
        chain = blocks.chain_blocks(prompt)
        hashed = time.perf_counter()
        ask = placement.PlacementRequest(
            "serrana", "model", chain, _PROMPT_TOKENS
        )
        chosen = placer.place(ask)
        decided = time.perf_counter()
        hashing.append(hashed - started)
        deciding.append(decided - hashed)
        assert chosen is not None
        load_book.note_placed(chosen.runner.name)
        load_book.note_done(chosen.runner.name, 1.0)
    return hashing, deciding


def _build(
    size: int, rng: random.Random
) -> tuple[placement.Placer, loads.LoadBook, prefixes.PrefixIndex, list[str]]:
    config = store.ConfigStore(["serrana"], records.create_verifier({}))
    me = messages.MemberUpdate(
        member="entry-1.aa", partner="serrana", zone="zone-0", address=""
    )
    runners = directory.RunnerDirectory(config, table.MemberTable(me, 5))
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
            for number in range(size)
        ]
    )
    load_book = loads.LoadBook()
    index = prefixes.PrefixIndex()
    placer = placement.Placer(
        "zone-0", runners, load_book, index, ejection.Ejector(), rng
    )
    return placer, load_book, index, [f"runner-{n}" for n in range(size)]


if __name__ == "__main__":
    app.run(main)
