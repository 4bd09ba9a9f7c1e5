"""Read the runners' entries again before they decide on a resumed stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from martenquay_daemon.discovery import keyed_follower

__all__ = ["CurrentEntries"]


class CurrentEntries:
    """Makes sure that the runners' entries show all versions of a time.

    A daemon that was suspended or cut off has entries of before. A runner gets
    streams only after the log has its entry, so a read that began after a
    stream broke off shows the version that began it.
    """

    def __init__(self, follower: keyed_follower.KeyedFollower) -> None:
        self._follower = follower
        self._ongoing: trio.Event | None = None
        self._is_read = False

    async def confirm(self, since: float) -> bool:
        """Wait until the entries are those of a time or later.

        Several calls share one read.

        Args:
            since: The time, in trio's time.

        Returns:
            Whether they are; False if the log did not answer.
        """
        while self._follower.copy_age.confirmed_at < since:
            if not await self._read():
                return False
        return True

    async def _read(self) -> bool:
        if self._ongoing is not None:
            await self._ongoing.wait()
            return self._is_read
        self._ongoing = trio.Event()
        self._is_read = False
        try:
            self._is_read = await self._follower.read_now()
        finally:
            self._ongoing.set()
            self._ongoing = None
        return self._is_read
