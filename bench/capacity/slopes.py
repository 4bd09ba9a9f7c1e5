"""Measure all marginal costs of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.capacity import control_slopes, serving_slopes

if TYPE_CHECKING:
    from bench.capacity import measures

__all__ = ["measure_all"]


async def measure_all() -> dict[str, measures.Slope]:
    """Return the marginal costs by name."""
    measured = [
        control_slopes.measure_process(),
        control_slopes.measure_heartbeat(),
        control_slopes.measure_member(),
        control_slopes.measure_change(),
        control_slopes.measure_object(),
        control_slopes.measure_verdict(),
        control_slopes.measure_snapshot(),
        control_slopes.measure_runner(),
        serving_slopes.measure_ring(),
        serving_slopes.measure_prefix(),
        serving_slopes.measure_claim(),
        serving_slopes.measure_deferrable_request(),
        await serving_slopes.measure_request_state(),
    ]
    return {slope.name: slope for slope in measured}
