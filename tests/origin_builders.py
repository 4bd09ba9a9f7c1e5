"""Build daemons that share the origins of their streams."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.origins import (
    finder,
    log,
    records,
    table,
    version_log,
    versions,
)
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import runners
    from martenquay_standins.ports import log as memory

__all__ = [
    "LIFETIME_S",
    "FakeEntries",
    "OriginDaemon",
    "build_origin",
    "build_runners",
    "create_daemon",
]

LIFETIME_S = 30.0


def build_origin(number: int = 1, **changes: str) -> records.StreamOrigin:
    """Return the origin of a stream of the service `model`."""
    fields = {
        "request": f"call-{number}",
        "service": "model",
        "software": "v1",
    }
    return records.StreamOrigin(**(fields | changes))


class FakeEntries:
    """Fake of `finder.EntryConfirmation` and of the age of the entries.

    Attributes:
        age_s: Age of the daemon's copy of the entries.
        is_log_cut: Whether the log does not answer this daemon.
        newest: The runners that the log lists, if the daemon's copy lacks
            them.
        reads: How often the log was read.
    """

    def __init__(self, known: list[runners.Runner]) -> None:
        self.age_s = 0.0
        self.is_log_cut = False
        self.newest: list[runners.Runner] | None = None
        self.reads = 0
        self._known = known

    async def confirm(self, since: float) -> bool:
        """Apply the entries that the log lists, if the copy is too old."""
        if trio.current_time() - self.age_s >= since:
            return True
        self.reads += 1
        await trio.lowlevel.checkpoint()
        if self.is_log_cut:
            return False
        if self.newest is not None:
            self._known[:] = self.newest
        self.age_s = 0.0
        return True


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
        entries: Its copy of their entries.
        on_listed: Called when the runners are listed.
    """

    origins: table.OriginTable
    history: versions.VersionHistory
    log: log.OriginLog
    finder: finder.OriginFinder
    peers: builders.FakeOriginPeers
    runners: list[runners.Runner]
    entries: FakeEntries
    on_listed: Callable[[], None] = lambda: None

    def set_versions(self, *software: str) -> None:
        """Replace the runners by one of each version."""
        self.runners[:] = build_runners(*software)


def build_runners(*software: str) -> list[runners.Runner]:
    """Return a runner of the service `model` of each version."""
    return [
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

    def list_known(service: str) -> list[runners.Runner]:
        del service
        daemon.on_listed()
        return known

    origins = table.OriginTable()
    entries = FakeEntries(known)
    history = versions.VersionHistory(
        list_known, lambda _: LIFETIME_S, lambda: entries.age_s
    )
    peers = peers or builders.FakeOriginPeers()
    origin_log = log.OriginLog(
        platform_log,
        builders.TOPICS.origins,
        origins,
        history,
        version_log.VersionLog(platform_log, builders.TOPICS.versions, history),
        lambda: {"model": LIFETIME_S},
        peers,
    )
    daemon = OriginDaemon(
        origins,
        history,
        origin_log,
        finder.OriginFinder(origins, history, origin_log, entries),
        peers,
        known,
        entries,
    )
    daemon.set_versions(*software)
    return daemon
