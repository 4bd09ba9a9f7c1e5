"""A runner's entry in the platform's runner registry."""

from __future__ import annotations

import dataclasses

__all__ = ["Runner"]


@dataclasses.dataclass(frozen=True)
class Runner:
    """One process of a runner.

    Attributes:
        id: Runner id; a restarted process may have the same one.
        service: Name of the service that it runs.
        address: Host and port; another runner may have them later.
        zone: Availability zone.
        slots: Requests that it processes concurrently.
        is_leaving: It is draining and must get no new requests.
        is_reclaimable: The platform may reclaim it at short notice.
        leaves_in_s: Seconds until it stops, as of the entry; None if unknown.
        software: Version of its software; empty if unknown.
        born_ms: Start time of the process in ms since the Unix epoch by the
            runner's clock; None if unknown. Distinguishes processes that
            have the same id.
        sequence: Number of the entry among the process's entries, 0 if
            unknown; not compared, since each heartbeat raises it.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool = False
    is_reclaimable: bool = False
    leaves_in_s: float | None = None
    software: str = ""
    born_ms: int | None = None
    sequence: int = dataclasses.field(default=0, compare=False)
