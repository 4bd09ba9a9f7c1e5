"""Names of the topics in the platform's log."""

from __future__ import annotations

import dataclasses

__all__ = ["Topics"]


@dataclasses.dataclass(frozen=True)
class Topics:
    """Topic names by content; keyed topics keep the newest record of a key.

    Attributes:
        catalog: Keyed; the operators' configuration.
        catalog_key: Key of the configuration record in `catalog`.
        runners: Keyed by runner id; runner entries.
        members: Keyed by daemon id; addresses of the daemons.
        lease: Lease of the duties that one daemon performs for all.
        usage: One usage report for each window.
        strikes: Keyed by request content; crash records, that is, runners
            that ended while they served that content.
        rollouts: Keyed by service; rollout steps.
        origins: The software versions that began streams, while a service has
            several.
        versions: Keyed by service; the software versions whose streams may be
            resumed.
        status: Keyed; rollout status for operators.
    """

    catalog: str
    catalog_key: str
    runners: str
    members: str
    lease: str
    usage: str
    strikes: str
    rollouts: str
    origins: str
    versions: str
    status: str
