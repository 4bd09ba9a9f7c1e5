"""Look up a service's capacity and the targets of its routes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.overload import levels

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.engines import loads, model

__all__ = ["ServiceTable"]

# Sums over all runners are reused for this long, a tenth of the reports' age.
_CAPACITY_AGE_S = 0.03
# Keeps the speed of a service above 0 while no runner of it is known.
_MIN_SPEEDS = 0.1


@dataclasses.dataclass(frozen=True)
class _KnownCapacity:
    found_at: float
    capacity: levels.Capacity


class ServiceTable:
    """Capacities and targets by service."""

    def __init__(
        self,
        store: catalog_store.CatalogStore,
        directory: runner_directory.RunnerDirectory,
        ledger: loads.LoadLedger,
        estimates: model.RunnerModel,
        find_speed: Callable[[str], float],
    ) -> None:
        self._store = store
        self._directory = directory
        self._ledger = ledger
        self._estimates = estimates
        self._find_speed = find_speed
        self._capacities: dict[str, _KnownCapacity] = {}
        self._content: catalog.Catalog | None = None
        self._targets: dict[str, dict[int, float]] = {}

    def has_engines(self, service: str) -> bool:
        """Return whether the runners of a service are engines."""
        found = self._store.table.catalog.services.get(service)
        return found is not None and found.engine is not None

    def find_capacity(self, service: str, now: float) -> levels.Capacity:
        """Return what all usable runners of a service do together.

        Args:
            service: Name of the service.
            now: The current time in seconds.
        """
        known = self._capacities.get(service)
        if known is not None and now - known.found_at < _CAPACITY_AGE_S:
            return known.capacity
        estimate = self._estimates.find(service)
        usable = self._directory.list_usable(service)
        speeds = sum(self._find_speed(runner.id) for runner in usable)
        capacity = levels.Capacity(
            len(usable),
            sum(runner.slots for runner in usable),
            sum(self._ledger.find(runner.id).requests for runner in usable),
            estimate.read_tokens_per_s * max(speeds, _MIN_SPEEDS),
            estimate.hold_s,
        )
        self._capacities[service] = _KnownCapacity(now, capacity)
        return capacity

    def find_targets(self, service: str) -> dict[int, float]:
        """Return the shortest target in seconds by urgency of the routes."""
        content = self._store.table.catalog
        if content is not self._content:
            self._content = content
            self._targets = _list_targets(content)
        return self._targets.get(service, {})


def _list_targets(content: catalog.Catalog) -> dict[str, dict[int, float]]:
    targets: dict[str, dict[int, float]] = {}
    for route in content.routes:
        for destination in route.destinations:
            known = targets.setdefault(destination.service, {})
            if route.target_s > 0:
                shortest = known.get(route.urgency, route.target_s)
                known[route.urgency] = min(shortest, route.target_s)
    return targets
