"""Find the software version that began a stream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.origins import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.origins import log, table, versions

__all__ = ["AnyVersion", "Begun", "Origin", "OriginFinder", "UnknownVersion"]

# A new version gets no requests for the first six seconds, so a copy of the
# runners' entries up to this age shows all versions that streams have.
_MAX_ENTRIES_AGE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Begun:
    """The stream began at a known version.

    Attributes:
        origin: Where it began.
    """

    origin: records.StreamOrigin


@dataclasses.dataclass(frozen=True)
class AnyVersion:
    """The service has had one version for as long as a stream lasts."""


@dataclasses.dataclass(frozen=True)
class UnknownVersion:
    """Streams of several versions exist, and this one's is not known.

    Attributes:
        is_log_read: Whether the log could be read to its end.
    """

    is_log_read: bool


Origin = Begun | AnyVersion | UnknownVersion


class OriginFinder:
    """Finds origins in this daemon's memory, and else in the log."""

    def __init__(
        self,
        origins: table.OriginTable,
        history: versions.VersionHistory,
        origin_log: log.OriginLog,
        find_entries_age_s: Callable[[], float],
    ) -> None:
        """Create the finder.

        Args:
            origins: The known origins.
            history: The versions of each service.
            origin_log: Reads the origins that other daemons have written.
            find_entries_age_s: Returns the age of the runners' entries.
        """
        self._origins = origins
        self._history = history
        self._log = origin_log
        self._find_entries_age_s = find_entries_age_s

    def note_begun(self, request: str, service: str, software: str) -> None:
        """Record that a stream's first event was relayed here.

        Args:
            request: Id of the request; without one it cannot be resumed.
            service: The service that it was forwarded to.
            software: Version of the runner's software.
        """
        if request:
            self._log.note_begun(
                records.StreamOrigin(request, service, software)
            )

    async def find(
        self, request: str, service: str, timeout_s: float
    ) -> Origin:
        """Return where a stream began.

        Args:
            request: Id of the request that brought its first event; empty if
                the caller names none.
            service: The service, if the stream's own is not known.
            timeout_s: How long to wait for the log, in seconds.
        """
        known = self._origins.find(request)
        if known is not None:
            return Begun(known)
        if self._is_settled(service):
            return AnyVersion()
        is_log_read = False
        with trio.move_on_after(timeout_s):
            is_log_read = await self._log.read()
            # The daemon that began the stream may not have written it yet.
            while (
                is_log_read
                and request
                and self._origins.find(request) is None
                and self._history.is_mixed(service)
            ):
                is_log_read = await self._log.read(timeout_s)
        known = self._origins.find(request)
        if known is not None:
            return Begun(known)
        if is_log_read and not self._history.is_mixed(service):
            return AnyVersion()
        return UnknownVersion(is_log_read)

    def _is_settled(self, service: str) -> bool:
        """Return whether this daemon alone knows that the service is unmixed.

        It does if it has run for as long as a stream lasts and its copy of the
        runners' entries is recent.
        """
        return (
            not self._history.is_mixed(service)
            and self._history.has_seen_lifetime(service)
            and self._find_entries_age_s() < _MAX_ENTRIES_AGE_S
        )
