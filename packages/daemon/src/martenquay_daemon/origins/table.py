"""Hold the origins of recent streams, and those not yet written to the log."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from martenquay_daemon.origins import records

__all__ = ["OriginTable"]

# Bounds the memory: ten streams a second for half an hour.
_MAX_ORIGINS = 20_000


class OriginTable:
    """Origins of streams, by the request that brought the first event."""

    def __init__(self, max_origins: int = _MAX_ORIGINS) -> None:
        self._max_origins = max_origins
        # Both in the order in which the streams began.
        self._origins: collections.OrderedDict[str, records.StreamOrigin] = (
            collections.OrderedDict()
        )
        self._unwritten: collections.OrderedDict[
            str, tuple[records.StreamOrigin, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return how many streams are known."""
        return len(self._origins)

    def find(self, request: str) -> records.StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""
        return self._origins.get(request)

    def add(self, origin: records.StreamOrigin) -> None:
        """Add a stream that another daemon has begun."""
        self._origins[origin.request] = origin
        self._origins.move_to_end(origin.request)
        if len(self._origins) > self._max_origins:
            self._origins.popitem(last=False)

    def add_begun(self, origin: records.StreamOrigin) -> None:
        """Add a stream that this daemon has begun."""
        self.add(origin)
        self._unwritten[origin.request] = (origin, trio.current_time())
        if len(self._unwritten) > self._max_origins:
            self._unwritten.popitem(last=False)

    def list_unwritten(
        self, service: str, max_age_s: float
    ) -> list[records.StreamOrigin]:
        """Return the streams of a service that the log does not have yet.

        Args:
            service: The service.
            max_age_s: Age from which a stream is not resumed any more; older
                ones are dropped.
        """
        oldest = trio.current_time() - max_age_s
        found = []
        for request, (origin, begun_at) in list(self._unwritten.items()):
            if origin.service != service:
                continue
            if begun_at < oldest:
                del self._unwritten[request]
            else:
                found.append(origin)
        return found

    def note_written(self, origins: list[records.StreamOrigin]) -> None:
        """Record that the log has these origins."""
        for origin in origins:
            self._unwritten.pop(origin.request, None)
