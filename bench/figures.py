"""Compute percentiles and print tables for the benchmarks."""

from __future__ import annotations

import math

__all__ = ["compute_percentile", "describe_seconds", "print_table"]


def compute_percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile, or NaN without values."""
    if not values:
        return math.nan
    ranked = sorted(values)
    place = max(0, math.ceil(len(ranked) * percent / 100) - 1)
    return ranked[place]


def describe_seconds(values: list[float]) -> str:
    """Return count, median and upper percentiles, in milliseconds."""
    parts = [
        f"p{percent}={compute_percentile(values, percent) * 1000:.1f}ms"
        for percent in (50, 95, 99)
    ]
    return f"n={len(values)} " + " ".join(parts)


def print_table(header: list[str], rows: list[list[str]]) -> None:
    """Print a table in Markdown."""
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(row) + " |")
