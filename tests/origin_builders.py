"""Build daemons that share the origins of their streams."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.origins import finder, log, records, table, versions
from tests import serving_builders as builders

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_standins.ports import log as memory

__all__ = ["LIFETIME_S", "OriginDaemon", "build_origin", "create_daemon"]

LIFETIME_S = 30.0


def build_origin(number: int = 1, **changes: str) -> records.StreamOrigin:
    """Return the origin of a stream of the service `model`."""
    fields = {
        "request": f"call-{number}",
        "service": "model",
        "software": "v1",
    }
    return records.StreamOrigin(**(fields | changes))


@dataclasses.dataclass
class OriginDaemon:
    """The parts of one daemon that know origins.

    Attributes:
        origins: The known origins.
        history: The versions of each service.
        log: Shares origins through the platform's log.
        finder: Finds origins.
        peers: The other daemons, as this one sees them.
        runners: The runners that it knows, of the service `model`.
        entries_age_s: Age of its copy of their entries.
    """

    origins: table.OriginTable
    history: versions.VersionHistory
    log: log.OriginLog
    finder: finder.OriginFinder
    peers: builders.FakeOriginPeers
    runners: list[runners.Runner]
    entries_age_s: float = 0.0

    def set_versions(self, *software: str) -> None:
        """Replace the runners by one of each version."""
        self.runners[:] = [
            builders.build_runner(
                id=f"runner-{version}", service="model", software=version
            )
            for version in software
        ]


def create_daemon(
    platform_log: memory.MemoryLog,
    *software: str,
    peers: builders.FakeOriginPeers | None = None,
) -> OriginDaemon:
    """Return a daemon that knows one runner of each version."""
    known: list[runners.Runner] = []
    origins = table.OriginTable()
    history = versions.VersionHistory(lambda _: known, lambda _: LIFETIME_S)
    peers = peers or builders.FakeOriginPeers()
    origin_log = log.OriginLog(
        platform_log,
        builders.TOPICS.origins,
        origins,
        history,
        lambda: {"model": LIFETIME_S},
        peers,
    )
    daemon = OriginDaemon(
        origins,
        history,
        origin_log,
        finder.OriginFinder(
            origins, history, origin_log, lambda: daemon.entries_age_s
        ),
        peers,
        known,
    )
    daemon.set_versions(*software)
    return daemon
