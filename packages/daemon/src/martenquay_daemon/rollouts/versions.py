"""Choose the versions of a service's runners that may get a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.rollouts import registry, share

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_core.serving import runners

__all__ = ["VersionChooser"]

_LOG = logs.create_log("rollouts")
# Runners of a new version may be listed before their order is read. An order
# is read within this time unless the log is away; after it the operators have
# put the version there by other means, and it serves like the others.
_UNORDERED_S = 6.0


class VersionChooser:
    """Split runners by version, by what the orders say."""

    def __init__(
        self,
        rollouts: registry.RolloutRegistry,
        rng: random.Random,
        count_daemons: Callable[[], int],
        is_log_heard: Callable[[], bool] = lambda: True,
    ) -> None:
        self._book = rollouts
        self._is_log_heard = is_log_heard
        self._count_daemons = count_daemons
        self._rng = rng
        self._shares: dict[tuple[str, int], share.CanaryShare] = {}
        # Versions by service: those in use, and since when others are seen.
        self._used: dict[str, set[str]] = {}
        self._seen_at: dict[tuple[str, str], float] = {}
        # The order by service of which runners have been there to choose.
        self._begun: dict[str, int] = {}

    def choose(
        self, service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that one attempt may go to.

        Args:
            service: The service.
            usable: Its runners that may get work at all.
        """
        rollout = self._book.find(service)
        if rollout is None or rollout.phase is not registry.Phase.CANARY:
            return self.list_serving(service, usable)
        old, new = self._split(service, usable, rollout.order.version)
        if new:
            self._begun[service] = rollout.offset
        canary = self._find_share(service, rollout.offset)
        canary.note_request()
        if not old:
            return new
        return new if new and canary.take() else old

    def has_begun(self, service: str, order: int) -> bool:
        """Tell whether this daemon has had runners of an order's version.

        What the old ones answered before is of other seconds.
        """
        return self._begun.get(service) == order

    def list_serving(
        self, service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that carry a service's requests."""
        rollout = self._book.find(service)
        if rollout is None:
            return self._list_used(service, usable)
        old, new = self._split(service, usable, rollout.order.version)
        match rollout.phase:
            case registry.Phase.CANARY:
                return old or new
            case registry.Phase.ROLLED_BACK:
                # What is bad gets nothing, also where nothing else is left.
                return old
            case _:
                # One that hears of the switch late finds the old ones gone.
                return new or old

    def _split(
        self, service: str, usable: list[runners.Runner], version: str
    ) -> tuple[list[runners.Runner], list[runners.Runner]]:
        """Return the runners of the other versions and of this one."""
        refused = self._book.find_refused(service) - {version}
        old = [
            one
            for one in usable
            if one.software != version and one.software not in refused
        ]
        return old, [one for one in usable if one.software == version]

    def _find_share(self, service: str, order: int) -> share.CanaryShare:
        key = (service, order)
        if key not in self._shares:
            self._shares[key] = share.CanaryShare(
                self._rng, self._count_daemons()
            )
        return self._shares[key]

    def _list_used(
        self, service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners of versions that need no order."""
        there = {one.software for one in usable}
        used = self._used.setdefault(service, there)
        for version in there - used:
            if not there & used or self._has_waited(service, version):
                self._used[service] = used = used | {version}
        return [one for one in usable if one.software in used]

    def _has_waited(self, service: str, version: str) -> bool:
        now = trio.current_time()
        if not self._is_log_heard():
            # Its order may be there.
            self._seen_at[service, version] = now
        since = self._seen_at.setdefault((service, version), now)
        if now - since < _UNORDERED_S:
            return False
        _LOG.write(
            f"{service}: {version} serves without an order.",
            service=service,
            version=version,
            waited_s=round(now - since, 3),
        )
        return True
