"""Take part in a large fleet: have hubs, and be one."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core.util import rendezvous
from martenquay_daemon.discovery import copy_age
from martenquay_daemon.fleet import (
    hub,
    messages,
    send_times,
    state_copies,
    topology,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from martenquay_daemon.fleet import timing, view

__all__ = ["Keeper", "Outgoing", "ZoneMode"]

# What a log that has never answered counts as.
_LONGEST_AGE_S = 3600.0
# A hub that has not reported for so long is not relied on for the log; the
# operators' changes have to be in force within 2 s.
_SERVED_S = 1.2
# A hub that has reported for so long is back for good.
_STEADY_S = 2.0
# A hub whose own reading of the log is this old is not relied on for it.
_FRESH_LOG_MS = 1000
_MS = 1000


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message for a daemon.

    Attributes:
        address: Its fleet link.
        raw: The message's bytes.
    """

    address: str
    raw: bytes


@dataclasses.dataclass(frozen=True)
class Keeper:
    """The hub that keeps units for this daemon.

    Attributes:
        member: Its process.
        address: Its fleet link.
        number: Of its last report.
    """

    member: str
    address: str
    number: int


@dataclasses.dataclass(frozen=True)
class _Served:
    """A hub of this zone and when it last reported."""

    summary: messages.ZoneSummary
    heard_at: float
    # Of its round of reports.
    number: int
    # It has heard this process.
    has_heard: bool
    # Since when it has reported without a longer pause.
    since: float


class ZoneMode:
    """This daemon's place in a large fleet.

    Attributes:
        is_hub: It reports to others.
        report_s: Between two of its reports.
        find_members_end: Returns how far all listed daemons of this zone have
            read who announced themselves.
        create_runner_reports: Returns what is known of what runners say.
    """

    def __init__(
        self,
        place: topology.PeerAddress,
        fleet: view.FleetView,
        state: state_copies.FleetState,
        zone_pace: timing.GossipIntervals,
    ) -> None:
        self.is_hub = False
        self.find_members_end: Callable[[], int] = lambda: 0
        self.create_runner_reports: Callable[[], messages.RunnerReports] = (
            lambda: messages.NO_RUNNER_REPORTS
        )
        self.report_s = zone_pace.report_s
        self._is_first = False
        self._place = place
        self._view = fleet
        self._state = state
        self._pace = zone_pace
        self._board = topology.HubBoard(place.address)
        self._hub = hub.ZoneHub(fleet.zones)
        self._own_hubs: list[str] = []
        self._foreign_hubs: list[str] = []
        self._served: dict[str, _Served] = {}
        self._reported_at = -math.inf
        self._told = send_times.SendTimes()
        self._rounds = send_times.SendTimes()
        self._keeper = ""
        self._has_chosen = False
        self._sole_since = math.inf

    def set_own_address(self, address: str) -> None:
        """Note where this daemon can be reached, once that is known."""
        self._place = dataclasses.replace(self._place, address=address)
        self._board.own_address = address

    def set_own_digest(self, digest: messages.Digest) -> None:
        """Take this daemon's own digest."""
        now = trio.current_time()
        self._hub.set_own_digest(digest, now)
        self._hub.forget_old(now)

    def apply_digest(self, digest: messages.Digest) -> None:
        """Take the digest of a daemon that takes this one for a hub."""
        if digest.zone == self._place.zone:
            self._hub.take(digest, trio.current_time())

    def apply_exchange(self, exchange: messages.ZoneExchange) -> None:
        """Take what another zone's hub tells."""
        summary = exchange.summary
        now = trio.current_time()
        self._board.note_heard(summary.address, now)
        if summary.zone != self._place.zone:
            self._view.zones.take(summary, exchange.loads, now)

    def apply_report(self, report: messages.FleetReport) -> bool:
        """Take a hub's report; tell whether it counts."""
        if not report.zones:
            return False
        own = report.zones[0]
        now = trio.current_time()
        self._board.note_heard(own.address, now)
        last = self._served.get(own.address)
        is_new = last is None or now - last.heard_at > _SERVED_S
        self._served[own.address] = _Served(
            own,
            now,
            report.number,
            report.heard > 0,
            now if is_new or last is None else last.since,
        )
        if self.is_hub and own.address != self._place.address:
            # A hub goes by its own sums; the other one is known to be there.
            return False
        if not self.is_hub and own.log_age_ms <= _FRESH_LOG_MS:
            self._state.contact.note_relayed(own.log_age_ms / _MS)
        if not self.is_hub:
            self._confirm_runners(own, report.heard)
        news = [self._view.zones.take(s, {}, now) for s in report.zones]
        return news[0]

    def _confirm_runners(
        self, summary: messages.ZoneSummary, heard: int
    ) -> None:
        """Note how old the entries are if they are the hub's."""
        follower = self._state.runner_follower
        told_at = self._told.find(heard)
        if told_at is None or follower.end < summary.runners_changed:
            return
        follower.copy_age.confirm(
            told_at - summary.runners_age_ms / _MS, copy_age.Step.REPORTED
        )

    def select_peers(self, known: Iterable[topology.PeerAddress]) -> set[str]:
        """Decide who this daemon's hubs are and whether it is one.

        Args:
            known: All other daemons.

        Returns:
            The addresses to be linked to.
        """
        now = trio.current_time()
        by_zone: dict[str, list[topology.PeerAddress]] = {}
        for peer in known:
            by_zone.setdefault(peer.zone, []).append(peer)
        by_zone.pop("", None)
        own_zone = [*by_zone.pop(self._place.zone, []), self._place]
        chosen = self._board.choose(own_zone, now)
        subscribers = set(self._hub.list_subscribers(now))
        self.is_hub = self._place.address in chosen or bool(subscribers)
        self._is_first = self._board.is_first(chosen)
        self._own_hubs = [a for a in chosen if a != self._place.address]
        self._has_chosen = True
        if not self.is_hub:
            return set(self._own_hubs)
        self._foreign_hubs = list(self._list_foreign_hubs(by_zone, now))
        peers = {*self._own_hubs, *subscribers, *self._foreign_hubs}
        return peers - {self._place.address}

    def create_notes(self, digest: messages.Digest) -> list[Outgoing]:
        """Return what to tell the hubs of this daemon."""
        raw = messages.encode_message(messages.DigestMessage(digest))
        self._told.note(digest.number)
        return [Outgoing(address, raw) for address in self._own_hubs]

    def note_sent(self, address: str) -> None:
        """Note that a hub was told something and should report."""
        self._board.note_asked(address, trio.current_time())

    def create_exchanges(self) -> list[Outgoing]:
        """Return what to tell the hubs of other zones."""
        exchange = self._hub.create_exchange(
            self._create_facts(), trio.current_time(), self._view.silent_s
        )
        raw = messages.encode_message(exchange)
        return [Outgoing(address, raw) for address in self._foreign_hubs]

    def create_reports(self) -> tuple[messages.FleetReport, list[Outgoing]]:
        """Return this hub's report to itself, and those to its zone."""
        reports = self._hub.create_reports(
            self._create_facts(), trio.current_time(), self._view.silent_s
        )
        own = reports.pop(self._place.address)
        self._rounds.note(own.number)
        found = [
            Outgoing(address, messages.encode_message(report))
            for address, report in reports.items()
        ]
        longest = max((len(one.raw) for one in found), default=0)
        self.report_s = self._pace.find_report_s(longest)
        return own, found

    def is_report_due(self, *, is_hurried: bool) -> bool:
        """Tell whether it is time for the next reports; if so, count on.

        Args:
            is_hurried: There is news that cannot wait.
        """
        now = trio.current_time()
        due_s = self._pace.report_s if is_hurried else self.report_s
        if not self.is_hub or now < self._reported_at + due_s:
            return False
        self._reported_at = now
        return True

    def find_reported(self, number: int) -> float | None:
        """Return when this hub made a round of reports, in trio's time."""
        return self._rounds.find(number)

    def is_quota_hub(self) -> bool:
        """Tell whether this daemon keeps its zone's units."""
        return self.is_hub and self._is_first

    def find_quota_hub(self) -> Keeper | None:
        """Return the hub that is to keep this daemon's units, if any reports.

        The first one keeps those of the whole zone: each pile more would be
        too small for long prompts more often. While another one reports, the
        first has to be back for some time: what was lent to one cannot be lent
        to another before it is over.
        """
        oldest = trio.current_time() - _SERVED_S
        fresh = {
            address: one
            for address, one in self._served.items()
            if one.heard_at >= oldest and address in self._own_hubs
        }
        if self.is_quota_hub() or not fresh:
            return None
        first = next(a for a in self._own_hubs if a in fresh)
        is_steady = fresh[first].since <= trio.current_time() - _STEADY_S
        if self._keeper not in fresh or is_steady:
            self._keeper = first
        one = fresh[self._keeper]
        return Keeper(one.summary.hub, self._keeper, one.number)

    def list_quota_hubs(self) -> list[str]:
        """Return the hubs to ask for units, the first choice first.

        Other zones' hubs come last: they have units when those of this zone
        are gone, and none of this zone's when it is cut off.
        """
        keeper = self.find_quota_hub()
        own = [keeper.address] if keeper is not None else []
        own += [a for a in self._own_hubs if a not in own]
        key = self._place.address
        foreign = [
            known.summary.address
            for known in self._view.zones.list_active()
            if known.summary.zone != self._place.zone
        ]
        foreign.sort(key=lambda one: rendezvous.score_candidate(key, one))
        return own + foreign

    def list_other_quota_hubs(self) -> list[str]:
        """Return the other zones' hubs, if this one keeps units like them."""
        return list(self._foreign_hubs) if self.is_quota_hub() else []

    def find_sole_since(self) -> float:
        """Return since when no hub uses what the last process here had lent.

        A hub drops that when it hears of this process, and says so.
        """
        if self._sole_since == math.inf and self._has_chosen:
            served = [self._served.get(address) for address in self._own_hubs]
            if all(one is not None and one.has_heard for one in served):
                self._sole_since = trio.current_time()
        return self._sole_since

    def is_served(self) -> bool:
        """Tell whether a hub follows the log for this daemon."""
        return not self.is_hub and self._is_log_fresh_elsewhere()

    def leads(self) -> bool:
        """Tell whether its zone goes by this hub's reading of the log."""
        if not self.is_hub:
            return False
        return self._is_first or not self._is_log_fresh_elsewhere()

    def list_states(self) -> Iterator[state_copies.PeerState]:
        """Return what hubs say that they have."""
        summaries = [one.summary for one in self._served.values()]
        summaries += [k.summary for k in self._view.zones.list_active()]
        for summary in summaries:
            yield state_copies.PeerState(
                summary.address,
                summary.catalog_version,
                summary.runners_changed,
                summary.log_age_ms,
            )

    def _is_log_fresh_elsewhere(self) -> bool:
        oldest = trio.current_time() - _SERVED_S
        return any(
            one.heard_at >= oldest and one.summary.log_age_ms <= _FRESH_LOG_MS
            for address, one in self._served.items()
            if address != self._place.address
        )

    def _list_foreign_hubs(
        self, by_zone: dict[str, list[topology.PeerAddress]], now: float
    ) -> Iterator[str]:
        """Return the other zones' hubs, and those that take us for one."""
        heard = set(self._board.list_heard(now))
        for peers in by_zone.values():
            chosen = self._board.choose(peers, now)
            yield from chosen
            yield from heard.intersection(p.address for p in peers) - {*chosen}

    def _create_facts(self) -> hub.HubFacts:
        state = self._state
        age_s = min(state.contact.age_s, _LONGEST_AGE_S)
        return hub.HubFacts(
            state.store.version,
            state.directory.entries.changed_end,
            state.find_runners_age_ms(),
            int(age_s * _MS),
            self.find_members_end(),
            self.create_runner_reports(),
        )
