"""Hold the gossiped state of each daemon and the leaving runners.

Updates are merged by incarnation and state, so their order and repetition do
not matter. Only a daemon itself raises its incarnation, by which it refutes a
false report of its death, as in SWIM.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from martenquay_core import logs
from martenquay_core.peers import messages
from martenquay_core.util import progress

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["MemberTable"]

_LOG = logs.create_log("membership")
_State = messages.MemberState
# Ticks after which a dead daemon or a leaving runner is dropped. An older
# update that arrives later would add it again.
_FORGET_TICKS = 3600


@dataclasses.dataclass
class _Entry:
    update: messages.Update
    version: int
    ticks: int = 0


class MemberTable:
    """Newest updates on daemons and runners, in the order of their change.

    Attributes:
        me: State of this daemon.
        version: Incremented with every change.
        applied: Offset of the configuration in force here.
        highest_applied: Highest such offset of any linked daemon.
        urgent: Number of changes that must not wait for the next heartbeat.
    """

    def __init__(
        self, me: messages.MemberUpdate, dead_after_ticks: int
    ) -> None:
        self.me = me
        self.version = 0
        self.applied = 0
        self.highest_applied = progress.Progress()
        self.urgent = progress.Progress()
        self._dead_after_ticks = dead_after_ticks
        # In the order of their versions.
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._applied: dict[str, int] = {}
        self._runner_listeners: list[Callable[[str], None]] = []
        self._set_entry(me.member, me)

    def listen_for_leaving(self, listener: Callable[[str], None]) -> None:
        """Register a callback for the name of each runner that is leaving."""
        self._runner_listeners.append(listener)

    def merge(self, update: messages.Update) -> bool:
        """Merge an update; return whether it changed anything."""
        match update:
            case messages.RunnerLeaving():
                return self._merge_runner(update)
            case messages.MemberUpdate(member=self.me.member):
                return self._refute(update)
            case messages.MemberUpdate():
                return self._merge_member(update)

    def suspect(self, member: str) -> None:
        """Mark a daemon that did not answer heartbeats as suspect."""
        known = self.find(member)
        if known is not None and known.state < _State.SUSPECT:
            self.merge(msgspec.structs.replace(known, state=_State.SUSPECT))

    def replace_me(self, me: messages.MemberUpdate) -> None:
        """Replace the state of this daemon, once its address is known."""
        self.me = me
        self._set_entry(me.member, me)

    def announce_leaving(self) -> None:
        """Gossip that this daemon is shutting down."""
        if self.me.state < _State.LEAVING:
            self.me = msgspec.structs.replace(self.me, state=_State.LEAVING)
            self._set_entry(self.me.member, self.me)
            self._signal_urgent()

    def announce_applied(self, offset: int) -> None:
        """Gossip the offset of the configuration in force here."""
        if offset > self.applied:
            self.applied = offset
            self._signal_urgent()

    def note_applied(self, member: str, offset: int) -> None:
        """Note the offset of the configuration in force at a linked daemon."""
        self._applied[member] = offset
        self.highest_applied.advance(offset)

    def list_ahead(self, offset: int) -> list[str]:
        """Return linked daemons with a newer offset, the own zone's first."""
        ahead = []
        for member, applied in self._applied.items():
            known = self.find(member)
            if known is not None and applied > offset:
                ahead.append((known.zone != self.me.zone, member))
        return [member for _, member in sorted(ahead)]

    def tick(self) -> None:
        """Count one heartbeat interval; mark long suspect daemons as dead.

        Time counts in ticks. A clock would go on while this process is frozen,
        and daemons whose heartbeats it missed would count as dead.
        """
        for name, entry in list(self._entries.items()):
            entry.ticks += 1
            match entry.update:
                case messages.MemberUpdate(state=_State.SUSPECT) as known:
                    if entry.ticks >= self._dead_after_ticks:
                        dead = msgspec.structs.replace(known, state=_State.DEAD)
                        self.merge(dead)
                case messages.MemberUpdate(state=_State.DEAD):
                    self._forget_old(name, entry)
                case messages.RunnerLeaving():
                    self._forget_old(name, entry)

    def find(self, member: str) -> messages.MemberUpdate | None:
        """Return the newest update of a daemon, or None."""
        entry = self._entries.get(member)
        if entry is None or isinstance(entry.update, messages.RunnerLeaving):
            return None
        return entry.update

    def list_members(
        self, partner: str | None = None
    ) -> list[messages.MemberUpdate]:
        """Return all known daemons, or those of one partner, in any state."""
        return [
            entry.update
            for entry in self._entries.values()
            if isinstance(entry.update, messages.MemberUpdate)
            and partner in {None, entry.update.partner}
        ]

    def list_serving(
        self, partner: str | None = None
    ) -> list[messages.MemberUpdate]:
        """Return the daemons that are alive or suspect."""
        return [
            member
            for member in self.list_members(partner)
            if member.state in {_State.ALIVE, _State.SUSPECT}
        ]

    def is_gone(self, member: str) -> bool:
        """Return whether a daemon is dead or unknown."""
        known = self.find(member)
        return known is None or known.state is _State.DEAD

    def is_leaving_runner(self, runner: str) -> bool:
        """Return whether a runner has been reported as leaving."""
        return _runner_key(runner) in self._entries

    def list_changes_since(
        self, version: int, limit: int
    ) -> tuple[list[messages.Update], int]:
        """Return updates that changed after a version, oldest first.

        Returns:
            At most `limit` updates, and the version of the last of them.
        """
        newer = list(
            itertools.takewhile(
                lambda entry: entry.version > version,
                reversed(self._entries.values()),
            )
        )
        chosen = list(reversed(newer))[:limit]
        reached = chosen[-1].version if chosen else version
        return [entry.update for entry in chosen], reached

    def list_reports_to_refute(self, member: str) -> list[messages.Update]:
        """Return the update that a daemon has to refute, if there is one."""
        known = self.find(member)
        if known is None or known.state < _State.SUSPECT:
            return []
        return [known]

    def _merge_member(self, update: messages.MemberUpdate) -> bool:
        known = self.find(update.member)
        if known is not None and _precedence(update) <= _precedence(known):
            return False
        self._set_entry(
            update.member, update, keep_ticks=_has_same_state(known, update)
        )
        if not _has_same_state(known, update):
            _LOG.write(
                f"Daemon {update.member} is {update.state.name.lower()}.",
                member=update.member,
                zone=update.zone,
            )
        return True

    def _merge_runner(self, update: messages.RunnerLeaving) -> bool:
        key = _runner_key(update.runner)
        if key in self._entries:
            return False
        self._set_entry(key, update)
        _LOG.write(f"Runner {update.runner} is leaving.", runner=update.runner)
        self._signal_urgent()
        for listener in self._runner_listeners:
            listener(update.runner)
        return True

    def _signal_urgent(self) -> None:
        self.urgent.advance(self.urgent.value + 1)

    def _refute(self, update: messages.MemberUpdate) -> bool:
        if _precedence(update) <= _precedence(self.me):
            return False
        self.me = msgspec.structs.replace(
            self.me, incarnation=update.incarnation + 1
        )
        self._set_entry(self.me.member, self.me)
        _LOG.write("Refuted a report of this daemon's death.")
        return True

    def _set_entry(
        self, key: str, update: messages.Update, *, keep_ticks: bool = False
    ) -> None:
        self.version += 1
        previous = self._entries.pop(key, None)
        ticks = previous.ticks if previous and keep_ticks else 0
        self._entries[key] = _Entry(update, self.version, ticks)

    def _forget_old(self, name: str, entry: _Entry) -> None:
        if entry.ticks >= _FORGET_TICKS:
            del self._entries[name]
            self._applied.pop(name, None)


def _precedence(update: messages.MemberUpdate) -> tuple[int, int]:
    return (update.incarnation, update.state)


def _has_same_state(
    known: messages.MemberUpdate | None, update: messages.MemberUpdate
) -> bool:
    return known is not None and known.state is update.state


def _runner_key(runner: str) -> str:
    return f"runner {runner}"
