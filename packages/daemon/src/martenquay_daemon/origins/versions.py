"""Tell for which services streams of several software versions may exist."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import runners

__all__ = ["VersionHistory"]


class VersionHistory:
    """The software versions that each service has had lately.

    A service is mixed while a stream of another than its only version may
    still be resumed.
    """

    def __init__(
        self,
        list_runners: Callable[[str], Iterable[runners.Runner]],
        find_lifetime_s: Callable[[str], float],
    ) -> None:
        """Create the history.

        Args:
            list_runners: Returns the known runners of a service.
            find_lifetime_s: Returns for how long after its begin a stream of
                a service may be resumed, in seconds.
        """
        self._list_runners = list_runners
        self._find_lifetime_s = find_lifetime_s
        self._started_at = math.inf
        # Time at which a version was last listed, by service.
        self._seen_at: dict[str, dict[str, float]] = {}
        # Until when other daemons take a service for mixed.
        self._mixed_until: dict[str, float] = {}

    def observe(self, service: str) -> None:
        """Note the versions that a service has now."""
        now = trio.current_time()
        self._started_at = min(self._started_at, now)
        seen = self._seen_at.setdefault(service, {})
        for runner in self._list_runners(service):
            seen[runner.software] = now

    def note_mixed(self, service: str, until: float) -> None:
        """Record until when another daemon takes a service for mixed.

        Args:
            service: The service.
            until: In trio's time.
        """
        known = self._mixed_until.get(service, -math.inf)
        self._mixed_until[service] = max(known, until)

    def find_mixed_until(self, service: str) -> float:
        """Return until when a service is mixed, by what is known now.

        Returns:
            In trio's time; minus infinity if there was one version only.
        """
        self.observe(service)
        until = self._mixed_until.get(service, -math.inf)
        seen = self._seen_at[service]
        if len(seen) < 2:
            return until
        lifetime_s = self._find_lifetime_s(service)
        oldest = trio.current_time() - lifetime_s
        for software, seen_at in list(seen.items()):
            if seen_at < oldest:
                del seen[software]
        # The newest one may be the only version left; streams of the one
        # before may still be resumed.
        newest_first = sorted(seen.values(), reverse=True)
        before = newest_first[1] if len(newest_first) > 1 else -math.inf
        return max(until, before + lifetime_s)

    def is_mixed(self, service: str) -> bool:
        """Return whether streams of two versions may be resumed now."""
        return self.find_mixed_until(service) > trio.current_time()

    def has_seen_lifetime(self, service: str) -> bool:
        """Return whether this daemon has run for longer than a stream lasts."""
        self.observe(service)
        runs_s = trio.current_time() - self._started_at
        return runs_s > self._find_lifetime_s(service)
