"""Divide shared rates evenly among the instances that are listed in the log.

A daemon that has read N announcements has a share of 1/N. A new one has none
until all other listed instances have gossiped that they have read its
announcement, and so have reduced their shares; it then announces that too, for
its next process. So the shares add up to 1 at most, although daemons read the
log at different times.
"""

from __future__ import annotations

import math

import trio

from martenquay_core import logs
from martenquay_core.serving import positions

__all__ = ["Roster"]

_LOG = logs.create_log("fleet")


class Roster:
    """The instances that are listed in the log, and their shares.

    Attributes:
        counted: Set once all others have reduced their shares for this
            instance; replaced when it is removed.
        share_since: Since when this daemon has a share, in trio's time.
        changes: Number of changes of the list or of this instance's share.
        removed: Set when this instance is removed from the list or its
            announcement is lost, and then replaced.
    """

    def __init__(self, instance: str) -> None:
        self.counted = trio.Event()
        self.removed = trio.Event()
        self.share_since = math.inf
        self.changes = 0
        self._instance = instance
        self._listed: set[str] = set()
        self._zones: dict[str, str] = {}
        self._read_ends: dict[str, int] = {}
        self._zone_read_ends: dict[str, int] = {}
        self._heard_at: dict[str, float] = {}
        # Offset after this instance's announcement; others have reduced their
        # shares for it once they have read up to here.
        self._needed_end: int | None = None

    def list_instances(self) -> set[str]:
        """Return the listed instances."""
        return set(self._listed)

    def list_zones(self) -> dict[str, str]:
        """Return the zones of the listed instances, by instance."""
        return {one: self._zones[one] for one in self._listed}

    def note_listed(
        self,
        instance: str,
        offset: int,
        *,
        is_counted: bool,
        zone: str = "",
    ) -> None:
        """Add the instance of an announcement that was read in the log.

        Args:
            instance: Instance that announced itself.
            offset: Offset of the announcement.
            is_counted: All others have reduced their shares for the instance.
            zone: Availability zone of the instance.
        """
        if self._zones.get(instance) != zone or instance not in self._listed:
            self.changes += 1
        self._listed.add(instance)
        self._zones[instance] = zone
        self._heard_at.setdefault(instance, trio.current_time())
        if instance != self._instance:
            return
        self._needed_end = offset + 1
        if is_counted and not self.counted.is_set():
            # The others' shares stayed reduced while no process of this
            # instance ran.
            self.share_since = -math.inf
            self.changes += 1
            self.counted.set()

    def note_removed(self, instance: str) -> None:
        """Remove an instance from the list."""
        self.changes += 1
        self._listed.discard(instance)
        self._read_ends.pop(instance, None)
        self._heard_at.pop(instance, None)
        if instance == self._instance:
            self.counted = trio.Event()
            self._needed_end = None
            self.share_since = math.inf
            self.removed.set()
            self.removed = trio.Event()

    def note_announcement_lost(self) -> None:
        """Have this instance announced again; it stays on all lists.

        Instances that start meanwhile do not know of it.
        """
        if self._needed_end is not None:
            self.removed.set()
            self.removed = trio.Event()

    def note_read_end(self, instance: str, end: int) -> None:
        """Note how far another daemon has read the announcements."""
        self._read_ends[instance] = max(end, self._read_ends.get(instance, 0))
        self._heard_at[instance] = trio.current_time()

    def note_zone_read_end(self, zone: str, end: int) -> None:
        """Note how far all listed daemons of a zone have read announcements."""
        self._zone_read_ends[zone] = max(end, self._zone_read_ends.get(zone, 0))

    def find_zone_end(self, zone: str, own_end: int) -> int:
        """Return how far all listed daemons of a zone have read announcements.

        Args:
            zone: The availability zone.
            own_end: Offset up to which this daemon has read.
        """
        others = [
            self._read_ends.get(one, 0)
            for one in self._listed - {self._instance}
            if self._zones[one] == zone
        ]
        return min([own_end, *others])

    def find_zone_share(self, zone: str) -> float:
        """Return the share of a zone's listed instances together."""
        if not self._listed:
            return 0.0
        count = sum(self._zones[one] == zone for one in self._listed)
        return count / len(self._listed)

    def reset_heard_times(self) -> None:
        """Count silence from now; before, not all others sent digests here."""
        now = trio.current_time()
        self._heard_at = dict.fromkeys(self._listed, now)

    def list_silent(self, silent_s: float) -> list[str]:
        """Return the other instances that have been silent for `silent_s`."""
        oldest = trio.current_time() - silent_s
        others = sorted(self._listed - {self._instance})
        return [one for one in others if self._heard_at[one] < oldest]

    def find_own_share(self) -> float:
        """Return this instance's share; 0 until others have reduced theirs."""
        if self._needed_end is None:
            return 0.0
        if not self.counted.is_set() and self._have_others_read(
            self._needed_end
        ):
            self.share_since = trio.current_time()
            self.changes += 1
            self.counted.set()
            _LOG.write(
                "All other daemons account for this instance.",
                listed=len(self._listed),
                end=self._needed_end,
            )
        return 1 / len(self._listed) if self.counted.is_set() else 0.0

    def _have_others_read(self, end: int) -> bool:
        others = self._listed - {self._instance}
        return all(self._has_read(one, end) for one in others)

    def _has_read(self, instance: str, end: int) -> bool:
        """Return whether another daemon has read up to an end.

        A later era's end tells nothing: the log may have lost the announcement
        before that daemon read it.
        """
        read_end = self._find_read_end(instance)
        return read_end >= end and (
            positions.find_era(read_end) == positions.find_era(end)
        )

    def _find_read_end(self, instance: str) -> int:
        zone_end = self._zone_read_ends.get(self._zones[instance], 0)
        return max(self._read_ends.get(instance, 0), zone_end)
