"""Hold requests until a starting daemon has read its topics once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["InitialSync", "create_initial_sync"]

_LOG = logs.create_log("catalog")
# Counted from the start of the daemon; if the log is down then, held requests
# get their error after this time. First reads take 20 to 60 ms when all daemons
# start at once.
_MAX_WAIT_S = 0.25


class InitialSync:
    """Waits for the first read of each topic.

    When all daemons restart, callers reconnect within milliseconds. A rejection
    then would use up the only retry that a caller has.
    """

    def __init__(self, sources: Mapping[str, trio.Event]) -> None:
        self._sources = dict(sources)
        self._deadline = trio.current_time() + _MAX_WAIT_S

    async def wait(self) -> None:
        """Return when all topics are read, or at the deadline."""
        if not self._sources:
            return
        with trio.move_on_at(self._deadline):
            for event in list(self._sources.values()):
                await event.wait()
        missing = [
            name for name, event in self._sources.items() if not event.is_set()
        ]
        if missing:
            _LOG.write(
                "Stopped waiting for the first read of all topics.",
                missing=missing,
            )
        if not missing or trio.current_time() >= self._deadline:
            # Otherwise each later request would write the line above.
            self._sources.clear()


def create_initial_sync(sources: Mapping[str, trio.Event]) -> InitialSync:
    """Return a wait whose time limit starts now.

    Args:
        sources: Events that are set after the first read, by name for the log.
    """
    return InitialSync(sources)
