"""Have a copy of a topic read anew before it is used too old.

However the news of a topic come, by a read of one's own, a hub's report or a
peer's copy, each step may be late. What decides is how old the copy is when it
is used, so that is where it is looked at. A copy may be too old because the
log is away; then it goes on serving, for nothing newer is to be had.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from martenquay_daemon.discovery import copy_age, keyed_follower

__all__ = ["CopyRefresher", "create_refresher"]

_LOG = logs.create_log("platform-log")
# A read takes 4 to 30 ms; on a connection that has gone silent 0.3 s, and the
# requests that come meanwhile wait no longer than this.
_WAIT_S = 0.15
# Between two reads of a log that is away.
_PAUSE_S = 0.5
# It is read on until it is back, so that the next request need not wait, for
# so long after the last one that wanted it.
_INTEREST_S = 3.0


@dataclasses.dataclass
class _Round:
    """One read that requests may wait for."""

    done: trio.Event = dataclasses.field(default_factory=trio.Event)


class CopyRefresher:
    """Read a topic before its copy is used at too high an age.

    Attributes:
        age: How old the copy is.
    """

    def __init__(
        self,
        follower: keyed_follower.KeyedFollower,
        name: str,
        oldest_s: float,
    ) -> None:
        self.age: copy_age.CopyAge = follower.copy_age
        self._follower = follower
        self._name = name
        self._oldest_s = oldest_s
        self._wanted = trio.Event()
        self._round = _Round()
        self._is_away = False
        self._wanted_at = -math.inf

    async def run(self) -> None:
        """Read when it is asked for, until cancelled."""
        while True:
            await self._wanted.wait()
            await self._read()
            self._round.done.set()
            self._round = _Round()
            if self._is_away:
                await trio.sleep(_PAUSE_S)
            if not self._is_away or not self._is_of_interest():
                self._wanted = trio.Event()

    async def refresh(self) -> None:
        """Return when the copy is young enough or nothing newer is to be had.

        Takes no time while it is.
        """
        if self.age.age_s <= self._oldest_s:
            return
        self._wanted_at = trio.current_time()
        self._wanted.set()
        # A log that is away would hold up each request and tell none of them
        # anything; one that is back has been read when the next one comes.
        if self._is_away:
            return
        with trio.move_on_after(_WAIT_S) as limit:
            await self._round.done.wait()
        if limit.cancelled_caught:
            self._is_away = True

    def _is_of_interest(self) -> bool:
        return trio.current_time() - self._wanted_at < _INTEREST_S

    async def _read(self) -> None:
        before_s = self.age.age_s
        started = trio.current_time()
        is_read = await self._follower.read_now()
        self._is_away = not is_read
        _LOG.write(
            f"The {self._name} were too old and are read before use.",
            age_ms=round(before_s * 1000) if before_s < math.inf else None,
            took_ms=round((trio.current_time() - started) * 1000),
            read=is_read,
        )


def create_refresher(
    follower: keyed_follower.KeyedFollower, name: str, oldest_s: float
) -> CopyRefresher:
    """Return a refresher; its task is to be run.

    Args:
        follower: Reads the topic.
        name: Of what the topic holds, for the log.
        oldest_s: A copy that is older is read before it is used.
    """
    return CopyRefresher(follower, name, oldest_s)
