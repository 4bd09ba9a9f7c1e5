"""Wait for what a daemon has to read before it can decide on requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["FirstReading", "create_first_reading"]

_LOG = logs.create_log("catalog")
# The first reads of the log take 20 to 60 ms, when all daemons start at once.
# Longer than this the log is away, and callers are better told so.
_MAX_WAIT_S = 0.25


class FirstReading:
    """Hold requests that come while a daemon reads the log for the first time.

    When all daemons restart, callers that waited for them connect within
    milliseconds. Told to come back, each spends its only retry: of the
    requests of the two seconds around such a restart 15 to 30% were refused
    for nothing but that.
    """

    def __init__(self, sources: Mapping[str, trio.Event]) -> None:
        self._sources = dict(sources)
        self._deadline = trio.current_time() + _MAX_WAIT_S

    async def wait(self) -> None:
        """Return when all is read, or when that takes too long."""
        if not self._sources:
            return
        with trio.move_on_at(self._deadline):
            for event in list(self._sources.values()):
                await event.wait()
        missing = [
            name for name, event in self._sources.items() if not event.is_set()
        ]
        if missing:
            _LOG.write("Decided before all was read.", missing=missing)
        if not missing or trio.current_time() >= self._deadline:
            # From now on nobody waits.
            self._sources.clear()


def create_first_reading(sources: Mapping[str, trio.Event]) -> FirstReading:
    """Return a wait for all of these events, from now on."""
    return FirstReading(sources)
