"""Choose the runners that may get a request by their software version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.rollouts import canary_budget, registry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_core.serving import runners

__all__ = ["VersionChooser"]

_LOG = logs.create_log("rollouts")
# A runner may be listed before the order that names its version is read. A
# version still without an order after this time was deployed by other means and
# serves.
_UNORDERED_WAIT_S = 6.0


class VersionChooser:
    """Selects runners by version, according to rollout orders."""

    def __init__(
        self,
        rollouts: registry.RolloutRegistry,
        rng: random.Random,
        count_daemons: Callable[[], int],
        is_log_reachable: Callable[[], bool] = lambda: True,
    ) -> None:
        self._registry = rollouts
        self._is_log_reachable = is_log_reachable
        self._count_daemons = count_daemons
        self._rng = rng
        self._budgets: dict[tuple[str, int], canary_budget.CanaryBudget] = {}
        # Serving versions by service, and when other versions were first seen.
        self._known_versions: dict[str, set[str]] = {}
        self._new_since: dict[tuple[str, str], float] = {}
        # By service, the order whose new version had runners to choose from.
        self._canary_orders: dict[str, int] = {}

    def choose(
        self, service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that one attempt may be sent to.

        Args:
            service: The service.
            usable: Its runners that may get requests.
        """
        rollout = self._registry.find(service)
        if rollout is None or rollout.phase is not registry.Phase.CANARY:
            return self.list_serving(service, usable)
        old, new = self._split(service, usable, rollout.order.version)
        if new:
            self._canary_orders[service] = rollout.offset
        budget = self._find_budget(service, rollout.offset)
        budget.earn()
        if not old:
            return new
        return new if new and budget.try_spend() else old

    def has_seen_canary(self, service: str, order: int) -> bool:
        """Return whether this daemon has had runners of an order's version.

        Answers of old runners from before then belong to another period and
        must not be compared.
        """
        return self._canary_orders.get(service) == order

    def list_serving(
        self, service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that get a service's regular requests."""
        rollout = self._registry.find(service)
        if rollout is None:
            return self._list_known_versions(service, usable)
        old, new = self._split(service, usable, rollout.order.version)
        match rollout.phase:
            case registry.Phase.CANARY:
                return old or new
            case registry.Phase.ROLLED_BACK:
                # A rolled-back version gets no requests, even if no other
                # runner is left.
                return old
            case _:
                # The old runners may be gone, or the new ones not listed yet.
                return new or old

    def _split(
        self, service: str, usable: list[runners.Runner], version: str
    ) -> tuple[list[runners.Runner], list[runners.Runner]]:
        """Return the runners of other accepted versions and of this one."""
        refused = self._registry.find_refused(service) - {version}
        old = [
            one
            for one in usable
            if one.software != version and one.software not in refused
        ]
        return old, [one for one in usable if one.software == version]

    def _find_budget(
        self, service: str, order: int
    ) -> canary_budget.CanaryBudget:
        key = (service, order)
        if key not in self._budgets:
            self._budgets[key] = canary_budget.CanaryBudget(
                self._rng, self._count_daemons()
            )
        return self._budgets[key]

    def _list_known_versions(
        self, service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners whose version needs no order."""
        present = {one.software for one in usable}
        known = self._known_versions.setdefault(service, present)
        for version in present - known:
            if not present & known or self._is_wait_over(service, version):
                self._known_versions[service] = known = known | {version}
        return [one for one in usable if one.software in known]

    def _is_wait_over(self, service: str, version: str) -> bool:
        now = trio.current_time()
        if not self._is_log_reachable():
            # While the log is unreachable the version's order may be unread.
            self._new_since[service, version] = now
        since = self._new_since.setdefault((service, version), now)
        if now - since < _UNORDERED_WAIT_S:
            return False
        _LOG.write(
            f"{service}: {version} serves without an order.",
            service=service,
            version=version,
            waited_s=round(now - since, 3),
        )
        return True
