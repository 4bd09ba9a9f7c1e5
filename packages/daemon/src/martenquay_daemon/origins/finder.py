"""Find the software version that began a stream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import trio

from martenquay_daemon.origins import records

if TYPE_CHECKING:
    from martenquay_daemon.origins import log, table, versions

__all__ = ["Begun", "OnlyVersion", "Origin", "OriginFinder", "UnknownVersion"]


@dataclasses.dataclass(frozen=True)
class Begun:
    """The stream began at a known version.

    Attributes:
        origin: Where it began.
    """

    origin: records.StreamOrigin


@dataclasses.dataclass(frozen=True)
class OnlyVersion:
    """The service has had one version for as long as a stream lasts.

    Attributes:
        software: The version; None if no runner is known.
    """

    software: str | None


@dataclasses.dataclass(frozen=True)
class UnknownVersion:
    """Streams of several versions exist, and this one's is not known.

    Attributes:
        is_log_read: Whether the log could be read to its end.
    """

    is_log_read: bool


Origin = Begun | OnlyVersion | UnknownVersion


class EntryConfirmation(Protocol):
    """The runners' entries, as far as they decide on resumed streams."""

    async def confirm(self, since: float) -> bool:
        """Read until they are those of a time; return whether they are."""


class OriginFinder:
    """Finds origins in this daemon's memory, and else in the log."""

    def __init__(
        self,
        origins: table.OriginTable,
        history: versions.VersionHistory,
        origin_log: log.OriginLog,
        entries: EntryConfirmation,
    ) -> None:
        """Create the finder.

        Args:
            origins: The known origins.
            history: The versions of each service.
            origin_log: Reads the origins that other daemons have written.
            entries: Reads the runners' entries again.
        """
        self._origins = origins
        self._history = history
        self._log = origin_log
        self._entries = entries

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
        asked_at = trio.current_time()
        is_log_read = False
        with trio.move_on_after(timeout_s):
            is_current = await self._entries.confirm(asked_at)
            if is_current and self._is_settled(service):
                return OnlyVersion(self._history.find_only(service))
            is_log_read = is_current and await self._log.read()
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
            return OnlyVersion(self._history.find_only(service))
        return UnknownVersion(is_log_read)

    def _is_settled(self, service: str) -> bool:
        """Return whether this daemon alone knows that the service is unmixed.

        It does if it has observed the versions for as long as a stream lasts.
        """
        return not self._history.is_mixed(
            service
        ) and self._history.has_seen_lifetime(service)
