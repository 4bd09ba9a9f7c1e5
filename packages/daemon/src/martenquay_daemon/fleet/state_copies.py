"""Hand on what the log has told to daemons that do not read it themselves."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core import logs
from martenquay_daemon.discovery import copy_age
from martenquay_daemon.fleet import messages, send_times

if TYPE_CHECKING:
    from collections.abc import Iterable

    from martenquay_daemon.discovery import (
        catalog_store,
        contact,
        keyed_follower,
        runner_directory,
    )

__all__ = ["FleetState", "PeerState", "StateTransfer"]

_LOG = logs.create_log("fleet")
# A log that has been silent this long is asked of peers instead.
_STALE_LOG_S = 0.9
_MS = 1000
# What a copy that was never complete, or an outage that never was, counts as.
_LONGEST_AGE_S = 3600.0
# So many ids stand in a line of the log.
_MOST_NAMED = 8


@dataclasses.dataclass(frozen=True)
class FleetState:
    """What is handed on.

    Attributes:
        store: The catalog.
        directory: The runners.
        runner_follower: How far their entries have been read.
        contact: How fresh that is.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    runner_follower: keyed_follower.KeyedFollower
    contact: contact.LogContact

    def find_runners_age_ms(self) -> int:
        """Return for how long the runners' entries may lack something."""
        return _find_ms(self.runner_follower.copy_age.age_s)


@dataclasses.dataclass(frozen=True)
class PeerState:
    """What a peer says it has.

    Attributes:
        address: Its fleet link.
        catalog_version: The version in force there.
        runners_changed: Up to where it knows the runners' entries.
        log_age_ms: Since the log answered it.
    """

    address: str
    catalog_version: int
    runners_changed: int
    log_age_ms: int


class StateTransfer:
    """Make copies, ask for them and take them."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._asked = send_times.SendTimes()
        self._questions = 0
        # The last copy named entries that were not in it or here; only all
        # of them make this daemon's complete.
        self._lacks_some = False

    def create_copy(
        self, want: messages.StateRequest, peers: list[messages.PeerEntry]
    ) -> messages.StateReply:
        """Return what the asker lacks."""
        state = self._state
        has_newer = state.store.version > want.catalog_version
        return messages.StateReply(
            state.store.packed if has_newer else b"",
            state.runner_follower.end,
            [
                copy
                for copy in state.directory.entries.list_copies()
                if copy.offset >= want.runners_end
            ],
            sorted(state.directory.entries.list_ids()),
            peers,
            state.find_runners_age_ms(),
            _find_ms(state.contact.regained_age_s),
            want.number,
        )

    def create_request(self) -> messages.StateRequest:
        """Return a question for all that is new."""
        state = self._state
        self._questions += 1
        self._asked.note(self._questions)
        runners_end = 0 if self._lacks_some else state.runner_follower.end
        return messages.StateRequest(
            state.store.version, runners_end, self._questions
        )

    def take(self, copy: messages.StateReply) -> None:
        """Take what a peer has read further in the log."""
        state = self._state
        if copy.catalog:
            state.store.offer_packed(copy.catalog, "a peer")
        asked_at = self._asked.find(copy.number)
        if asked_at is not None:
            # Counted from the question, so that a late copy makes nothing
            # younger than it is.
            state.contact.note_regained_elsewhere(
                asked_at - copy.regained_ms / _MS
            )
        if not self._take_runners(copy):
            return
        if asked_at is not None:
            state.runner_follower.copy_age.confirm(
                asked_at - copy.runners_age_ms / _MS, copy_age.Step.COPIED
            )

    def _take_runners(self, copy: messages.StateReply) -> bool:
        """Take a peer's entries; tell whether all that it has are here."""
        state = self._state
        if copy.runners_end <= state.runner_follower.end:
            return not self._lacks_some
        listed = set(copy.runner_ids)
        state.directory.apply_copies(copy.runners, listed)
        lacking = listed - state.directory.entries.list_ids()
        self._lacks_some = bool(lacking)
        if lacking:
            _LOG.write(
                f"A copy lacks {len(lacking)} of {len(listed)} entries.",
                end=copy.runners_end,
                runners=sorted(lacking)[:_MOST_NAMED],
            )
            return False
        state.runner_follower.skip_to(copy.runners_end)
        return True

    def choose_source(
        self, peers: Iterable[PeerState], *, reads_log: bool
    ) -> PeerState | None:
        """Return the peer to ask, if one is ahead.

        Args:
            peers: Those that can be asked.
            reads_log: This daemon follows the log itself; then runners'
                entries are asked for only if it does not answer.
        """
        known = list(peers)
        version = self._state.store.version
        ahead = [p for p in known if p.catalog_version > version]
        is_stale = self._state.contact.age_s > _STALE_LOG_S
        if not ahead and (is_stale or not reads_log):
            ahead = [p for p in known if self._has_newer_runners(p, reads_log)]
        return max(
            ahead,
            key=lambda p: (p.catalog_version, p.runners_changed),
            default=None,
        )

    def _has_newer_runners(self, peer: PeerState, reads_log: bool) -> bool:
        state = self._state
        if peer.runners_changed <= state.runner_follower.end:
            return False
        return not reads_log or peer.log_age_ms < state.contact.age_s * _MS


def _find_ms(age_s: float) -> int:
    """Return an age in ms for a message; it may be without end."""
    return int(min(age_s, _LONGEST_AGE_S) * _MS)
