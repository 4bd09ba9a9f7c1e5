"""Define the intervals at which daemons gossip."""

from __future__ import annotations

import dataclasses

__all__ = [
    "LOST_REPORTS",
    "MESH_INTERVALS",
    "ZONE_INTERVALS",
    "GossipIntervals",
]


@dataclasses.dataclass(frozen=True)
class GossipIntervals:
    """Intervals of a daemon's digests and, as a hub, of its reports.

    Attributes:
        digest_s: Interval between digests.
        min_interval_s: Least interval between digests, if one is sent early.
        check_s: Interval between checks for messages that are due.
        report_s: Least interval between a hub's reports.
        max_report_s: Greatest interval between a hub's reports.
        report_bytes_per_s: Rate limit of a hub's reports to one daemon, as
            far as `max_report_s` allows.
        silent_s: Time without messages after which a daemon or zone counts
            as silent.
        quota_update_s: Interval between quota updates.
    """

    digest_s: float
    min_interval_s: float
    check_s: float
    report_s: float
    max_report_s: float
    report_bytes_per_s: float
    silent_s: float
    quota_update_s: float

    def find_report_interval(self, size: int) -> float:
        """Return the interval between reports of a size in bytes."""
        wanted_s = max(self.report_s, size / self.report_bytes_per_s)
        return min(self.max_report_s, wanted_s)


# A mesh has no reports; the report fields are unused there. Four digests may be
# lost in a row before a daemon counts as silent.
MESH_INTERVALS = GossipIntervals(
    digest_s=0.25,
    min_interval_s=0.04,
    check_s=0.04,
    report_s=0.25,
    max_report_s=0.8,
    report_bytes_per_s=4000.0,
    silent_s=1.2,
    quota_update_s=0.25,
)
# Reports and the daemon's own digests together stay below the 5 KB/s per daemon
# that control traffic may use.
ZONE_INTERVALS = GossipIntervals(
    digest_s=0.5,
    min_interval_s=0.15,
    check_s=0.1,
    report_s=0.25,
    max_report_s=0.8,
    report_bytes_per_s=4000.0,
    silent_s=2.0,
    quota_update_s=0.4,
)
# Consecutive reports of a hub that may be lost before its zone counts as
# silent.
LOST_REPORTS = 4
