"""Construct the parts of admission under overload."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.overload import gate

if TYPE_CHECKING:
    import random

    from martenquay_core.settings import gateway
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.engines import demand, loads, model
    from martenquay_daemon.overload import backlog, metrics

__all__ = ["create_gate"]


def _find_usual_speed(runner_id: str) -> float:
    del runner_id
    return 1.0


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
) -> gate.OverloadGate | None:
    """Return the gate; None if the settings turn it off."""
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
            _find_usual_speed,
        )
    )
