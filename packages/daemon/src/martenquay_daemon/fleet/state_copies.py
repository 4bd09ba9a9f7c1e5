"""Transfer the catalog and runner entries between daemons.

In a large fleet only the hubs follow the log; the other daemons, and those that
the log does not answer, request its content from a peer.
"""

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
# Runner entries are requested from peers after this time without an answer from
# the log.
_STALE_LOG_S = 0.9
_MS = 1000
# Upper bound for ages in messages: the age is infinite if a copy was never
# complete or there was no outage.
_MAX_AGE_S = 3600.0
_MAX_LOGGED_IDS = 8


@dataclasses.dataclass(frozen=True)
class FleetState:
    """State that daemons request from each other.

    Attributes:
        store: The catalog.
        directory: The runner entries.
        runner_follower: Follows the topic of the runner entries.
        contact: Whether and when the log answered.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    runner_follower: keyed_follower.KeyedFollower
    contact: contact.LogContact

    def find_runners_age_ms(self) -> int:
        """Return the time since the runner entries were known complete."""
        return _find_ms(self.runner_follower.copy_age.age_s)


@dataclasses.dataclass(frozen=True)
class PeerState:
    """Versions and offsets of a peer's state, from its digest or summary.

    Attributes:
        address: Address of its fleet link.
        catalog_version: Version of the catalog in force there.
        runners_changed: Offset up to which it has applied changed runner
            entries.
        log_age_ms: Time since the log last answered it.
    """

    address: str
    catalog_version: int
    runners_changed: int
    log_age_ms: int


class StateTransfer:
    """Requests state from peers, creates replies and applies them."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._request_times = send_times.SendTimes()
        self._requests = 0
        # The last reply lacked entries that this daemon does not have either.
        # The next request asks for all entries, and until they are here the
        # copy does not count as complete.
        self._lacks_entries = False

    def create_reply(
        self, request: messages.StateRequest, peers: list[messages.PeerEntry]
    ) -> messages.StateReply:
        """Return a reply with the state that the requester lacks."""
        state = self._state
        has_newer = state.store.version > request.catalog_version
        return messages.StateReply(
            state.store.packed if has_newer else b"",
            state.runner_follower.end,
            [
                copy
                for copy in state.directory.entries.list_copies()
                if copy.offset >= request.runners_end
            ],
            sorted(state.directory.entries.list_ids()),
            peers,
            state.find_runners_age_ms(),
            _find_ms(state.contact.regained_age_s),
            request.number,
        )

    def create_request(self) -> messages.StateRequest:
        """Return a request for all state newer than this daemon's."""
        state = self._state
        self._requests += 1
        self._request_times.note(self._requests)
        runners_end = 0 if self._lacks_entries else state.runner_follower.end
        return messages.StateRequest(
            state.store.version, runners_end, self._requests
        )

    def apply_reply(self, reply: messages.StateReply) -> None:
        """Apply a peer's reply; drop one that nobody asked for."""
        state = self._state
        requested_at = self._request_times.find(reply.number)
        if requested_at is None:
            _LOG.write(
                "Dropped a reply to an unknown or old request for state.",
                number=reply.number,
            )
            return
        if reply.catalog:
            state.store.offer_packed(reply.catalog, "a peer")
        # Ages count from the request: counted from the reply's arrival, a
        # delayed reply would make the state look newer than it is.
        state.contact.note_regained_elsewhere(
            requested_at - reply.regained_ms / _MS
        )
        if self._apply_runners(reply):
            state.runner_follower.copy_age.confirm(
                requested_at - reply.runners_age_ms / _MS,
                copy_age.AgeEvent.COPIED,
            )

    def _apply_runners(self, reply: messages.StateReply) -> bool:
        """Apply a peer's runner entries; return whether all are here now."""
        state = self._state
        if reply.runners_end <= state.runner_follower.end:
            return not self._lacks_entries
        listed = set(reply.runner_ids)
        state.directory.apply_copies(reply.runners, listed)
        lacking = listed - state.directory.entries.list_ids()
        self._lacks_entries = bool(lacking)
        if lacking:
            _LOG.write(
                f"State reply lacks {len(lacking)} of {len(listed)} runner"
                " entries.",
                end=reply.runners_end,
                runners=sorted(lacking)[:_MAX_LOGGED_IDS],
            )
            return False
        state.runner_follower.skip_to(reply.runners_end)
        return True

    def choose_source(
        self, peers: Iterable[PeerState], *, reads_log: bool
    ) -> PeerState | None:
        """Return the peer with the newest state, if any is ahead.

        Args:
            peers: Peers that can be asked.
            reads_log: Whether this daemon follows the log itself; it then asks
                for runner entries only while the log does not answer.
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
    """Return an age, which may be infinite, in milliseconds for a message."""
    return int(min(age_s, _MAX_AGE_S) * _MS)
