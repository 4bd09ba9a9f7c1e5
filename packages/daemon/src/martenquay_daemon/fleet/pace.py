"""Say how often daemons tell each other of themselves."""

from __future__ import annotations

import dataclasses

__all__ = ["LOST_REPORTS", "MESH_PACE", "ZONE_PACE", "GossipIntervals"]


@dataclasses.dataclass(frozen=True)
class GossipIntervals:
    """How often a daemon tells of itself and, as a hub, of the others.

    Attributes:
        own_s: Between two digests of its own.
        min_interval_s: The least time between two, for news that cannot wait.
        step_s: Between two looks at what there is to do.
        report_s: Between two reports of a hub, at the least.
        longest_report_s: The same, however large reports are.
        report_bytes_per_s: What a daemon may be sent by a hub.
        silent_s: Without news for so long, a daemon or zone is silent.
        units_s: Between two notes on the units that it keeps.
    """

    own_s: float
    min_interval_s: float
    step_s: float
    report_s: float
    longest_report_s: float
    report_bytes_per_s: float
    silent_s: float
    units_s: float

    def find_report_s(self, size: int) -> float:
        """Return the time between reports of a size in bytes."""
        wanted_s = max(self.report_s, size / self.report_bytes_per_s)
        return min(self.longest_report_s, wanted_s)


# In a full mesh a digest takes one step, and four may be lost. There are no
# reports.
MESH_PACE = GossipIntervals(
    own_s=0.25,
    min_interval_s=0.04,
    step_s=0.04,
    report_s=0.25,
    longest_report_s=0.8,
    report_bytes_per_s=4000.0,
    silent_s=1.2,
    units_s=0.25,
)
# Over hubs it takes three. The users allow 5 KB/s for control; a daemon's own
# digests take the rest. A large fleet is reported on less often.
ZONE_PACE = GossipIntervals(
    own_s=0.5,
    min_interval_s=0.15,
    step_s=0.1,
    report_s=0.25,
    longest_report_s=0.8,
    report_bytes_per_s=4000.0,
    silent_s=2.0,
    units_s=0.4,
)
# Of a hub's reports so many may be lost before its zone counts as silent.
LOST_REPORTS = 4
