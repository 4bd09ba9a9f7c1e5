"""Take the time and the memory that something costs."""

from __future__ import annotations

import dataclasses
import time
import tracemalloc
from typing import TYPE_CHECKING

from bench import figures

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Slope", "time_call", "weigh"]


@dataclasses.dataclass(frozen=True)
class Slope:
    """The cost of one more thing.

    Attributes:
        name: What there is one more of.
        seconds: Processor time each.
        memory: Bytes of memory each.
        wire: Bytes sent or received each.
    """

    name: str
    seconds: float = 0.0
    memory: float = 0.0
    wire: float = 0.0


def time_call(run: Callable[[], object], repeats: int = 400) -> float:
    """Return the median processor time of one call, in seconds."""
    spans = []
    for _ in range(repeats):
        started = time.process_time_ns()
        run()
        spans.append((time.process_time_ns() - started) / 1e9)
    return figures.compute_percentile(spans, 50)


def weigh(build: Callable[[], object]) -> int:
    """Return the bytes that what is built holds."""
    tracemalloc.start()
    built = build()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return held
