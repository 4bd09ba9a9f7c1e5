"""Hold the newest digest of each daemon."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.duties import usage_counts
    from martenquay_daemon.fleet import messages

__all__ = ["FleetView", "KnownMember"]

_LOG = logs.create_log("fleet")
# Until the links say how often digests come.
_FIRST_SILENT_S = 1.2
# A cut shows in all of a zone's daemons at once, so it is believed after
# this part of the time that one daemon may be silent.
_ZONE_PART = 0.6
# A daemon that is silent this long no longer counts for even shares.
_GONE_S = 30.0
# Usage counts of a daemon that ended are kept until they are reported.
_KEEP_COUNTS_S = 40.0


@dataclasses.dataclass
class KnownMember:
    """A daemon and when it was last heard.

    Attributes:
        digest: Its newest digest.
        heard_at: When that came, in trio's time.
        is_replaced: Its instance has a newer process.
    """

    digest: messages.Digest
    heard_at: float
    is_replaced: bool = False


class FleetView:
    """What is known of the other daemons.

    Attributes:
        silent_s: Without a digest for so long, a daemon counts as silent.
    """

    def __init__(self, instance: str) -> None:
        self.silent_s = _FIRST_SILENT_S
        self._instance = instance
        self._members: dict[str, KnownMember] = {}
        self._listed: set[str] = set()
        self._silent: set[str] = set()
        self._listeners: list[Callable[[messages.Digest], None]] = []
        self._end_listeners: list[Callable[[str], None]] = []

    def listen(self, listener: Callable[[messages.Digest], None]) -> None:
        """Have a function called with each digest that is news."""
        self._listeners.append(listener)

    def listen_for_ends(self, listener: Callable[[str], None]) -> None:
        """Have a function called with each member that is gone for good."""
        self._end_listeners.append(listener)

    def take(self, digest: messages.Digest) -> bool:
        """Take a digest; tell whether it is news."""
        if digest.instance == self._instance:
            return False
        known = self._members.get(digest.member)
        if known is not None and digest.number <= known.digest.number:
            return False
        if known is None:
            self._note_new(digest)
        elif digest.member in self._silent:
            self._silent.discard(digest.member)
            away_s = trio.current_time() - known.heard_at
            _LOG.write(
                f"Daemon {digest.member} is heard again.",
                away_s=round(away_s, 3),
            )
        self._members[digest.member] = KnownMember(digest, trio.current_time())
        for listener in self._listeners:
            listener(digest)
        return True

    def note_listed(self, instances: set[str]) -> None:
        """Note the instances that have announced themselves in the log."""
        self._listed |= instances

    def check_silence(self) -> None:
        """Log who has fallen silent and forget who is long gone."""
        now = trio.current_time()
        for member, known in list(self._members.items()):
            silent_s = now - known.heard_at
            if silent_s > self.silent_s and member not in self._silent:
                self._silent.add(member)
                if not known.is_replaced:
                    _LOG.write(f"Daemon {member} is silent.", member=member)
            if silent_s > _KEEP_COUNTS_S:
                self._forget(member)

    def list_current(self) -> list[KnownMember]:
        """Return the newest process of each other instance, heard or not."""
        return [m for m in self._members.values() if not m.is_replaced]

    def list_fresh(self) -> list[KnownMember]:
        """Return the daemons that are heard now."""
        oldest = trio.current_time() - self.silent_s
        return [m for m in self.list_current() if m.heard_at >= oldest]

    def list_candidates(self) -> list[str]:
        """Return the other instances that may take the duties' lease."""
        return [known.digest.instance for known in self.list_fresh()]

    def is_zone_silent(self, zone: str) -> bool:
        """Tell whether daemons of a zone were heard before and none is now."""
        found = [m for m in self.list_current() if m.digest.zone == zone]
        oldest = trio.current_time() - _ZONE_PART * self.silent_s
        return bool(found) and all(m.heard_at < oldest for m in found)

    def count_daemons(self) -> int:
        """Return how many daemons share what is to be shared, this one too."""
        oldest = trio.current_time() - _GONE_S
        heard = {
            known.digest.instance
            for known in self.list_current()
            if known.heard_at >= oldest
        }
        return 1 + max(len(heard), len(self._listed - {self._instance}))

    def find_age(self, member: str) -> float:
        """Return the seconds since a daemon was heard."""
        known = self._members.get(member)
        if known is None:
            return math.inf
        return trio.current_time() - known.heard_at

    def sum_begun(self, window: int) -> dict[str, int]:
        """Return the requests that others began in a window, by team."""
        total: dict[str, int] = {}
        for known in self._members.values():
            for team, count in known.digest.begun.get(window, {}).items():
                total[team] = total.get(team, 0) + count
        return total

    def has_closed(self, window: int) -> bool:
        """Tell whether every daemon has told its last of a window."""
        return all(
            known.digest.window > window or known.digest.is_leaving
            for known in self.list_current()
        )

    def _note_new(self, digest: messages.Digest) -> None:
        for other in self._members.values():
            if other.digest.instance == digest.instance:
                other.is_replaced = True
                self._end(other.digest.member)
        _LOG.write(
            f"Daemon {digest.member} is heard.",
            zone=digest.zone,
            address=digest.address,
        )

    def _forget(self, member: str) -> None:
        known = self._members.pop(member)
        self._silent.discard(member)
        self._listed.discard(known.digest.instance)
        if not known.is_replaced:
            self._end(member)

    def _end(self, member: str) -> None:
        for listener in self._end_listeners:
            listener(member)


def merge_counts(
    own: usage_counts.WindowCounts, others: dict[str, int], window: int
) -> dict[str, int]:
    """Return own and others' counts of one window together."""
    total = dict(others)
    for team, count in own.get(window, {}).items():
        total[team] = total.get(team, 0) + count
    return total
