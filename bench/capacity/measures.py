"""Measure the processor time of a call and the memory of an object."""

from __future__ import annotations

import dataclasses
import time
import tracemalloc
from typing import TYPE_CHECKING

from bench import figures

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Slope", "measure_held_bytes", "time_call"]


@dataclasses.dataclass(frozen=True)
class Slope:
    """Marginal cost of one more item of a kind.

    Attributes:
        name: Kind of the item.
        processor_s: Processor time per item in seconds.
        memory_bytes: Memory per item.
        wire_bytes: Bytes sent or received per item.
    """

    name: str
    processor_s: float = 0.0
    memory_bytes: float = 0.0
    wire_bytes: float = 0.0


def time_call(run: Callable[[], object], calls: int = 400) -> float:
    """Return the median processor time of one call, in seconds."""
    durations_s = []
    for _ in range(calls):
        started_ns = time.process_time_ns()
        run()
        durations_s.append((time.process_time_ns() - started_ns) / 1e9)
    return figures.compute_percentile(durations_s, 50)


def measure_held_bytes(build: Callable[[], object]) -> int:
    """Return the bytes allocated by the object that `build` returns."""
    tracemalloc.start()
    retained = build()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return held_bytes
