"""Read a topic again before a copy of it that is too old is used."""

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
# Longest wait of a request. A read takes 4 to 30 ms, or 0.3 s on a connection
# that has gone silent.
_MAX_WAIT_S = 0.15
_RETRY_INTERVAL_S = 0.5
# A log that is down is read again for this long after the last request, so that
# the next one need not wait when it is back.
_RETRY_PERIOD_S = 3.0


@dataclasses.dataclass
class _ReadRound:
    """One read that requests may wait for."""

    done: trio.Event = dataclasses.field(default_factory=trio.Event)


class CopyRefresher:
    """Reads a topic when its copy is too old at the time of use.

    Reads, hub reports and peers' copies may each be late, so only the age at
    the use is checked. While the log is down, the old copy is used.

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
        """Read when a request needs it, until cancelled."""
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
        """Wait until the copy is recent enough or the log is found to be down.

        Returns at once while the copy is recent enough.
        """
        if self.age.age_s <= self._max_age_s:
            return
        self._requested_at = trio.current_time()
        self._read_requested.set()
        # While the log is down, each request would wait for nothing; `run` goes
        # on reading, so later requests find the copy recent once it is back.
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
    """Return a refresher; the caller starts its `run`.

    Args:
        follower: Reads the topic.
        name: What the topic holds, for log lines.
        max_age_s: An older copy is read again before it is used.
    """
    return CopyRefresher(follower, name, max_age_s)
