"""Tell for which services streams of several software versions may exist."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import runners

__all__ = ["VersionHistory"]

# Above the time between two reads of the runners' entries. In a longer gap a
# version may have come and gone unseen.
_MAX_GAP_S = 3.0


def _find_no_age() -> float:
    return 0.0


class VersionHistory:
    """The software versions that each service has had lately.

    A service is mixed while a stream of another than its only version may
    still be resumed.
    """

    def __init__(
        self,
        list_runners: Callable[[str], Iterable[runners.Runner]],
        find_lifetime_s: Callable[[str], float],
        find_entries_age_s: Callable[[], float] = _find_no_age,
    ) -> None:
        """Create the history.

        Args:
            list_runners: Returns the known runners of a service.
            find_lifetime_s: Returns for how long after its begin a stream of
                a service may be resumed, in seconds.
            find_entries_age_s: Returns the age of the runners' entries.
        """
        self._list_runners = list_runners
        self._find_lifetime_s = find_lifetime_s
        self._find_entries_age_s = find_entries_age_s
        # By service: since when its versions are observed without a gap, and
        # when they last were.
        self._complete_since: dict[str, float] = {}
        self._observed_at: dict[str, float] = {}
        # Time at which a version was last listed, by service.
        self._seen_at: dict[str, dict[str, float]] = {}
        # Until when other daemons take a service for mixed.
        self._mixed_until: dict[str, float] = {}

    def observe(self, service: str) -> None:
        """Note the versions that a service has now."""
        now = trio.current_time()
        last = self._observed_at.get(service, -math.inf)
        is_gap = now - last > _MAX_GAP_S
        if is_gap or self._find_entries_age_s() > _MAX_GAP_S:
            self._complete_since[service] = now
        self._observed_at[service] = now
        seen = self._seen_at.setdefault(service, {})
        for runner in self._list_runners(service):
            seen[runner.software] = now

    def list_versions(self, service: str) -> dict[str, float]:
        """Return the versions whose streams may be resumed.

        Returns:
            When each was last listed, in trio's time.
        """
        self.find_mixed_until(service)
        return dict(self._seen_at[service])

    def find_only(self, service: str) -> str | None:
        """Return the only version of a service; None if not just one is known.

        Versions of before the last lifetime do not count.
        """
        seen = self.list_versions(service)
        return next(iter(seen)) if len(seen) == 1 else None

    def note_listed(self, service: str, software: str, at: float) -> None:
        """Record that another daemon has listed a version.

        Args:
            service: The service.
            software: The version.
            at: When, in trio's time.
        """
        seen = self._seen_at.setdefault(service, {})
        seen[software] = max(at, seen.get(software, -math.inf))

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
        """Return whether all versions of a stream's lifetime were seen here."""
        self.observe(service)
        seen_s = trio.current_time() - self._complete_since[service]
        return seen_s > self._find_lifetime_s(service)
