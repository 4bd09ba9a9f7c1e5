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
_MAX_WAIT_S = 0.15
# Between two reads of a log that is away.
_RETRY_INTERVAL_S = 0.5
# It is read on until it is back, so that the next request need not wait, for
# so long after the last one that wanted it.
_RETRY_PERIOD_S = 3.0


@dataclasses.dataclass
class _ReadRound:
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
        max_age_s: float,
    ) -> None:
        self.age: copy_age.CopyAge = follower.copy_age
        self._follower = follower
        self._name = name
        self._max_age_s = max_age_s
        self._read_requested = trio.Event()
        self._round = _ReadRound()
        self._is_log_down = False
        self._requested_at = -math.inf

    async def run(self) -> None:
        """Read when it is asked for, until cancelled."""
        while True:
            await self._read_requested.wait()
            await self._read_log()
            self._round.done.set()
            self._round = _ReadRound()
            if self._is_log_down:
                await trio.sleep(_RETRY_INTERVAL_S)
            if not self._is_log_down or not self._was_requested_recently():
                self._read_requested = trio.Event()

    async def refresh(self) -> None:
        """Return when the copy is young enough or nothing newer is to be had.

        Takes no time while it is.
        """
        if self.age.age_s <= self._max_age_s:
            return
        self._requested_at = trio.current_time()
        self._read_requested.set()
        # A log that is away would hold up each request and tell none of them
        # anything; one that is back has been read when the next one comes.
        if self._is_log_down:
            return
        with trio.move_on_after(_MAX_WAIT_S) as limit:
            await self._round.done.wait()
        if limit.cancelled_caught:
            self._is_log_down = True

    def _was_requested_recently(self) -> bool:
        return trio.current_time() - self._requested_at < _RETRY_PERIOD_S

    async def _read_log(self) -> None:
        before_s = self.age.age_s
        started = trio.current_time()
        is_read = await self._follower.read_now()
        self._is_log_down = not is_read
        _LOG.write(
            f"The {self._name} were too old and are read before use.",
            age_ms=round(before_s * 1000) if before_s < math.inf else None,
            took_ms=round((trio.current_time() - started) * 1000),
            read=is_read,
        )


def create_refresher(
    follower: keyed_follower.KeyedFollower, name: str, max_age_s: float
) -> CopyRefresher:
    """Return a refresher; its task is to be run.

    Args:
        follower: Reads the topic.
        name: Of what the topic holds, for the log.
        max_age_s: A copy that is older is read before it is used.
    """
    return CopyRefresher(follower, name, max_age_s)
