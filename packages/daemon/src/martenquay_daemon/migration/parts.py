"""Construct the parts that migrate streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.migration import (
    decision_log,
    departures,
    mover,
    targets,
    transfer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import ports
    from martenquay_core.settings import gateway
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.forwarding import metrics

__all__ = ["create_mover"]

_MS_PER_S = 1000


def create_mover(
    settings: gateway.GatewaySettings,
    engines: ports.EnginePort | None,
    store: catalog_store.CatalogStore,
    directory: runner_directory.RunnerDirectory,
    target_finder: targets.TargetFinder,
    refresh_entries: Callable[[], Awaitable[None]],
    counts: metrics.ForwardingMetrics,
) -> mover.StreamMover | None:
    """Return the mover of a daemon's streams.

    Args:
        settings: Settings of the daemon.
        engines: Calls on engines.
        store: Holds the catalog with the engines' traits.
        directory: The known runners.
        target_finder: Lists the runners that may get streams.
        refresh_entries: Reads the runners' entries if they are too old.
        counts: Metrics.

    Returns:
        The mover; None if the platform has no calls that move runs.
    """
    if engines is None:
        return None
    created = mover.StreamMover(
        store,
        departures.Departures(directory, settings.bounds.drain_ms / _MS_PER_S),
        target_finder,
        transfer.Transfer(engines),
        decision_log.DecisionLog(counts),
        refresh_entries,
    )
    created.is_enabled = settings.load.stream_migration
    return created
