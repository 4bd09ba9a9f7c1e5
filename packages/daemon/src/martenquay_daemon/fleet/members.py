"""Hold the newest digest of each daemon that sends digests to this one."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.fleet import messages

__all__ = ["KnownMember", "MemberTable"]

_LOG = logs.create_log("fleet")
# Request counts of a daemon that ended are lost if its digest is dropped before
# its last usage window is reported.
_FORGET_AFTER_S = 40.0


@dataclasses.dataclass
class KnownMember:
    """Newest digest of a daemon.

    Attributes:
        digest: The digest.
        heard_at: When it was received, in trio's time.
        is_replaced: A newer process of the instance has sent a digest.
    """

    digest: messages.Digest
    heard_at: float
    is_replaced: bool = False


class MemberTable:
    """Newest digests of other daemons, by member id."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._members: dict[str, KnownMember] = {}
        self._silent_members: set[str] = set()
        self._end_listeners: list[Callable[[str], None]] = []

    def listen_for_ends(self, listener: Callable[[str], None]) -> None:
        """Register a callback for the member id of each daemon that ended."""
        self._end_listeners.append(listener)

    def apply_digest(self, digest: messages.Digest) -> bool:
        """Apply another instance's digest; return whether it is newer."""
        if digest.instance == self._instance:
            return False
        known = self._members.get(digest.member)
        if known is not None and digest.number <= known.digest.number:
            return False
        if known is None:
            self._add_process(digest)
        elif digest.member in self._silent_members:
            self._silent_members.discard(digest.member)
            away_s = trio.current_time() - known.heard_at
            _LOG.write(
                f"Daemon {digest.member} sends digests again.",
                away_s=round(away_s, 3),
            )
        self._members[digest.member] = KnownMember(digest, trio.current_time())
        return True

    def check_silence(self, silent_s: float) -> set[str]:
        """Log which daemons became silent and drop those silent for long.

        Args:
            silent_s: Time without digests after which a daemon is silent.

        Returns:
            Instances of the dropped daemons.
        """
        now = trio.current_time()
        forgotten = set()
        for member, known in list(self._members.items()):
            unheard_s = now - known.heard_at
            if unheard_s > silent_s and member not in self._silent_members:
                self._silent_members.add(member)
                if not known.is_replaced:
                    _LOG.write(
                        f"Daemon {member} has stopped sending digests.",
                        member=member,
                    )
            if unheard_s > _FORGET_AFTER_S:
                self._forget(member)
                forgotten.add(known.digest.instance)
        return forgotten

    def list_all(self) -> list[KnownMember]:
        """Return all known processes, also replaced ones."""
        return list(self._members.values())

    def list_current(self) -> list[KnownMember]:
        """Return the newest process of each other instance, also if silent."""
        return [m for m in self._members.values() if not m.is_replaced]

    def list_fresh(self, silent_s: float) -> list[KnownMember]:
        """Return the daemons that sent a digest in the last `silent_s`."""
        oldest = trio.current_time() - silent_s
        return [m for m in self.list_current() if m.heard_at >= oldest]

    def _add_process(self, digest: messages.Digest) -> None:
        for other in self._members.values():
            if other.digest.instance == digest.instance:
                other.is_replaced = True
                self._notify_end(other.digest.member)
        _LOG.write(
            f"Received the first digest of daemon {digest.member}.",
            zone=digest.zone,
            address=digest.address,
        )

    def _forget(self, member: str) -> None:
        known = self._members.pop(member)
        self._silent_members.discard(member)
        if not known.is_replaced:
            self._notify_end(member)

    def _notify_end(self, member: str) -> None:
        for listener in self._end_listeners:
            listener(member)
