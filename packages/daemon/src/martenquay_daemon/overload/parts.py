"""Construct the parts of admission under overload."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.overload import gate

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_core.settings import gateway
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.engines import demand, loads, model
    from martenquay_daemon.overload import backlog, metrics

__all__ = ["create_gate"]


def create_gate(
    settings: gateway.LoadSettings,
    store: catalog_store.CatalogStore,
    directory: runner_directory.RunnerDirectory,
    ledger: loads.LoadLedger,
    backlogs: backlog.BacklogLedger,
    estimates: model.RunnerModel,
    meter: demand.DemandMeter,
    observed: metrics.OverloadMetrics,
    rng: random.Random,
    find_speed: Callable[[str], float],
) -> gate.OverloadGate | None:
    """Return the gate; None if the settings turn it off.

    Args:
        settings: Decisions under load that are enabled.
        store: The catalog in force.
        directory: The known runners.
        ledger: Load of all daemons by runner.
        backlogs: Waiting prompts of all daemons by urgency.
        estimates: Prefill speed and request time of the engines.
        meter: Demand for the planning of capacity.
        observed: Prometheus metrics.
        rng: Draws which requests are admitted.
        find_speed: Returns a runner's speed relative to its service's.
    """
    if not settings.overload_admission:
        return None
    return gate.OverloadGate(
        gate.OverloadSources(
            store,
            directory,
            ledger,
            backlogs,
            estimates,
            meter,
            observed,
            rng,
            find_speed,
        )
    )
