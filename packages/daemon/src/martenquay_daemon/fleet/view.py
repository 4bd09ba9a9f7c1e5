"""Query other daemons' state, by daemon or, in a large fleet, by zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.fleet import members, zones

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.duties import usage_counts
    from martenquay_daemon.fleet import messages

__all__ = ["FleetView", "merge_counts"]

# Used until the gossip loop sets the timeout.
_DEFAULT_SILENT_S = 1.2
# A partition silences all daemons of a zone at once, so less silence is needed
# to detect it than for one daemon.
_ZONE_SILENCE_FRACTION = 0.6
# In a large fleet, usage counts of a window are final when this fraction of the
# daemons is in the sums; waiting for all would delay reports while one is down.
_MIN_REPORTING_FRACTION = 0.95
# Silence after which a daemon has no share of what the daemons divide evenly.
_COUNTED_S = 30.0


class FleetView:
    """State of the other daemons, from digests or from zone summaries.

    Attributes:
        silent_s: Time without messages after which a daemon or zone counts
            as silent.
        is_mesh: The fleet is small, so that all daemons send digests here.
        is_candidate: This daemon may acquire the duties' lease.
        members: The daemons that send digests to this one.
        zones: Summaries of the zones of a large fleet.
    """

    def __init__(self, instance: str) -> None:
        self.silent_s = _DEFAULT_SILENT_S
        self.is_mesh = True
        self.is_candidate = True
        self.members = members.MemberTable(instance)
        self.zones = zones.ZoneTable()
        self._instance = instance
        self._listed: set[str] = set()

    def apply_digest(self, digest: messages.Digest) -> bool:
        """Apply a digest; return whether it is newer."""
        return self.members.apply_digest(digest)

    def listen_for_ends(self, listener: Callable[[str], None]) -> None:
        """Register a callback for the member id of each daemon that ended."""
        self.members.listen_for_ends(listener)

    def note_listed(self, instances: set[str]) -> None:
        """Add instances that have announced themselves in the log."""
        self._listed |= instances

    def check_silence(self) -> None:
        """Log which daemons became silent and drop those silent for long."""
        self._listed -= self.members.check_silence(self.silent_s)

    def list_fresh(self) -> list[members.KnownMember]:
        """Return the daemons that are not silent."""
        return self.members.list_fresh(self.silent_s)

    def list_candidates(self) -> list[str]:
        """Return the other instances that may acquire the duties' lease."""
        if self.is_mesh:
            return [known.digest.instance for known in self.list_fresh()]
        hubs = self.zones.list_hubs(trio.current_time())
        return sorted({known.summary.instance for known in hubs})

    def is_zone_silent(self, zone: str) -> bool:
        """Return whether a zone is silent; False if it never sent anything."""
        heard_at = self._find_zone_heard_at(zone)
        if heard_at is None:
            return False
        return (
            trio.current_time() - heard_at
            > _ZONE_SILENCE_FRACTION * self.silent_s
        )

    def count_daemons(self) -> int:
        """Return the number of daemons, this one included.

        Counts the daemons with recent digests or summaries, or the listed ones,
        whichever are more.
        """
        listed = len(self._listed - {self._instance})
        return 1 + max(self._count_heard(), listed)

    def sum_started(self, window: int) -> dict[str, int]:
        """Return the requests that others started in a window, by team."""
        total: dict[str, int] = {}
        for begun in self._list_started_counts():
            for team, count in begun.get(window, {}).items():
                total[team] = total.get(team, 0) + count
        return total

    def sum_demand(self, service: str) -> float:
        """Return others' uncached prompt tokens a second for a service."""
        return sum(demand.get(service, 0.0) for demand in self._list_demand())

    def list_demanded(self) -> set[str]:
        """Return the services for which other daemons have demand."""
        return {
            service
            for demand in self._list_demand()
            for service, rate in demand.items()
            if rate > 0
        }

    def has_closed(self, window: int) -> bool:
        """Return whether the daemons' counts of a usage window are final."""
        if self.is_mesh:
            return all(
                known.digest.window > window or known.digest.is_leaving
                for known in self.members.list_current()
            )
        active = self.zones.list_active()
        if not all(known.summary.window > window for known in active):
            return False
        # The sums of a hub just elected lack most of its zone's daemons.
        heard = 1 + sum(known.summary.daemons for known in active)
        return heard >= _MIN_REPORTING_FRACTION * self.count_daemons()

    def _find_zone_heard_at(self, zone: str) -> float | None:
        if not self.is_mesh:
            active = self.zones.find_active(zone)
            return None if active is None else active.heard_at
        return max(
            (
                known.heard_at
                for known in self.members.list_current()
                if known.digest.zone == zone
            ),
            default=None,
        )

    def _list_demand(self) -> list[dict[str, float]]:
        if self.is_mesh:
            return [known.digest.demand for known in self.list_fresh()]
        return [
            known.summary.demand
            for known in self.zones.list_active()
            if trio.current_time() - known.heard_at <= self.silent_s
        ]

    def _count_heard(self) -> int:
        oldest = trio.current_time() - _COUNTED_S
        if self.is_mesh:
            heard = {
                known.digest.instance
                for known in self.members.list_current()
                if known.heard_at >= oldest
            }
            return len(heard)
        return sum(
            known.summary.daemons
            for known in self.zones.list_active()
            if known.heard_at >= oldest
        )

    def _list_started_counts(self) -> list[usage_counts.WindowCounts]:
        if self.is_mesh:
            return [k.digest.begun for k in self.members.list_all()]
        return [k.summary.begun for k in self.zones.list_active()]


def merge_counts(
    own: usage_counts.WindowCounts, others: dict[str, int], window: int
) -> dict[str, int]:
    """Return the sums of own and others' counts of one window, by team."""
    total = dict(others)
    for team, count in own.get(window, {}).items():
        total[team] = total.get(team, 0) + count
    return total
