"""Gossip in a large fleet through hubs, or as a hub of the zone."""

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
    speed_entries,
    state_copies,
    topology,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from martenquay_daemon.fleet import timing, view

__all__ = ["QuotaHub", "Outgoing", "ZoneMode"]

# Upper bound for ages in messages; the age of a log that never answered is
# infinite.
_MAX_AGE_S = 3600.0
# Daemons read the log themselves when their hubs have not reported for this
# long; operators' changes must be in force within 2 s.
_REPORT_TIMEOUT_S = 1.2
# Reporting for this long makes a preferred hub the quota hub again; a hub that
# comes and goes must not move the quota each time.
_RETURN_DELAY_S = 2.0
# A hub that the log has not answered for longer is not relied on to read it.
_MAX_LOG_AGE_MS = 1000
_MS = 1000


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message to send to a daemon.

    Attributes:
        address: Address of its fleet link.
        raw: The encoded message.
    """

    address: str
    raw: bytes


@dataclasses.dataclass(frozen=True)
class QuotaHub:
    """The hub that holds quota for this daemon.

    Attributes:
        member: Member id of the hub.
        address: Address of its fleet link.
        number: Number of its last report.
    """

    member: str
    address: str
    number: int


@dataclasses.dataclass(frozen=True)
class _HubStatus:
    """Reports received from a hub of this zone."""

    summary: messages.ZoneSummary
    heard_at: float
    # Number of its last round of reports.
    number: int
    # It has received a digest of this process.
    has_own_digest: bool
    # Start of its reports without a pause above `_REPORT_TIMEOUT_S`.
    reporting_since: float


class ZoneMode:
    """Elects the hubs of a large fleet and exchanges state through them.

    Attributes:
        is_hub: This daemon is a hub of its zone.
        report_interval_s: Interval between its rounds of reports, as a hub.
        find_members_end: Returns the offset up to which all listed daemons of
            this zone have read the announcements.
        create_runner_reports: Returns the limits and drains that runners
            reported.
    """

    def __init__(
        self,
        own_address: topology.PeerAddress,
        fleet: view.FleetView,
        state: state_copies.FleetState,
        zone_intervals: timing.GossipIntervals,
    ) -> None:
        self.is_hub = False
        self.find_members_end: Callable[[], int] = lambda: 0
        self.create_runner_reports: Callable[[], messages.RunnerReports] = (
            lambda: messages.NO_RUNNER_REPORTS
        )
        self.report_interval_s = zone_intervals.report_s
        self._is_first_hub = False
        self._own_address = own_address
        self._view = fleet
        self._state = state
        self._intervals = zone_intervals
        self._election = topology.HubElection(own_address.address)
        self._hub = hub.ZoneHub(fleet.zones)
        self._own_hubs: list[str] = []
        self._foreign_hubs: list[str] = []
        self._hub_statuses: dict[str, _HubStatus] = {}
        self._report_round_at = -math.inf
        self._digest_times = send_times.SendTimes()
        self._report_times = send_times.SendTimes()
        self._quota_hub_address = ""
        self._has_elected = False
        self._sole_since = math.inf

    def set_address(self, address: str) -> None:
        """Set the address of this daemon's fleet link, once it listens."""
        self._own_address = dataclasses.replace(
            self._own_address, address=address
        )
        self._election.own_address = address

    def set_own_digest(self, digest: messages.Digest) -> None:
        """Set this daemon's newest digest."""
        now = trio.current_time()
        self._hub.set_own_digest(digest, now)
        self._hub.drop_expired(now)

    def apply_digest(self, digest: messages.Digest) -> None:
        """Apply a digest sent to this daemon as a hub of the sender's zone."""
        if digest.zone == self._own_address.zone:
            self._hub.apply_digest(digest, trio.current_time())

    def apply_exchange(self, exchange: messages.ZoneExchange) -> None:
        """Apply the summary that another zone's hub sent."""
        summary = exchange.summary
        now = trio.current_time()
        self._election.note_report(summary.address, now)
        if summary.zone != self._own_address.zone:
            self._view.zones.apply_summary(
                summary,
                exchange.loads,
                now,
                speed_entries.decode_speeds(exchange.speeds),
            )

    def apply_report(self, report: messages.FleetReport) -> bool:
        """Apply a hub's report; return whether its sums are to be used."""
        if not report.zones:
            return False
        own = report.zones[0]
        now = trio.current_time()
        self._election.note_report(own.address, now)
        last = self._hub_statuses.get(own.address)
        is_new = last is None or now - last.heard_at > _REPORT_TIMEOUT_S
        self._hub_statuses[own.address] = _HubStatus(
            own,
            now,
            report.number,
            report.heard > 0,
            now if is_new or last is None else last.reporting_since,
        )
        is_own = own.address == self._own_address.address
        if not is_own and not self._is_first_log_reader():
            self._note_relayed_reads(own, report.heard)
        if self.is_hub and not is_own:
            # The other hub's sums would replace this hub's own sums.
            return False
        applied = [
            self._view.zones.apply_summary(s, {}, now) for s in report.zones
        ]
        return applied[0]

    def _note_relayed_reads(
        self, summary: messages.ZoneSummary, digest_number: int
    ) -> None:
        """Take over what a hub that reads the log reports of it."""
        if summary.log_age_ms <= _MAX_LOG_AGE_MS:
            self._state.contact.note_relayed(summary.log_age_ms / _MS)
        self._confirm_runner_entries(summary, digest_number)

    def _confirm_runner_entries(
        self, summary: messages.ZoneSummary, digest_number: int
    ) -> None:
        """Set the age of the runner entries from that of the hub's entries."""
        follower = self._state.runner_follower
        digest_sent_at = self._digest_times.find(digest_number)
        if digest_sent_at is None or follower.end < summary.runners_changed:
            return
        follower.copy_age.confirm(
            digest_sent_at - summary.runners_age_ms / _MS,
            copy_age.AgeEvent.REPORTED,
        )

    def select_peers(self, known: Iterable[topology.PeerAddress]) -> set[str]:
        """Elect hubs and return the daemons that this one must be linked to.

        Args:
            known: All other daemons.

        Returns:
            Addresses of their fleet links.
        """
        now = trio.current_time()
        by_zone: dict[str, list[topology.PeerAddress]] = {}
        for peer in known:
            by_zone.setdefault(peer.zone, []).append(peer)
        by_zone.pop("", None)
        own_zone = [*by_zone.pop(self._own_address.zone, []), self._own_address]
        chosen = self._election.elect_hubs(own_zone, now)
        subscribers = set(self._hub.list_subscribers(now))
        self.is_hub = self._own_address.address in chosen or bool(subscribers)
        self._is_first_hub = self._election.is_first_hub(chosen)
        self._own_hubs = [a for a in chosen if a != self._own_address.address]
        self._has_elected = True
        if not self.is_hub:
            return set(self._own_hubs)
        self._foreign_hubs = list(self._list_foreign_hubs(by_zone, now))
        peers = {*self._own_hubs, *subscribers, *self._foreign_hubs}
        return peers - {self._own_address.address}

    def list_subscribers(self) -> list[str]:
        """Return the addresses of the daemons that this hub reports to."""
        return list(self._hub.list_subscribers(trio.current_time()))

    def list_own_hubs(self) -> list[str]:
        """Return the addresses of the zone's other hubs."""
        return list(self._own_hubs)

    def create_digest_messages(self, digest: messages.Digest) -> list[Outgoing]:
        """Return a digest's messages to this daemon's hubs."""
        raw = messages.encode_message(messages.DigestMessage(digest))
        self._digest_times.note(digest.number)
        return [Outgoing(address, raw) for address in self._own_hubs]

    def note_sent(self, address: str) -> None:
        """Note that a message was sent to a hub, which should report."""
        self._election.note_message_sent(address, trio.current_time())

    def create_exchanges(self) -> list[Outgoing]:
        """Return the messages to the hubs of other zones."""
        exchange = self._hub.create_exchange(
            self._create_hub_state(), trio.current_time(), self._view.silent_s
        )
        raw = messages.encode_message(exchange)
        return [Outgoing(address, raw) for address in self._foreign_hubs]

    def create_reports(self) -> tuple[messages.FleetReport, list[Outgoing]]:
        """Return this hub's report to itself, and the messages to its zone."""
        reports = self._hub.create_reports(
            self._create_hub_state(), trio.current_time(), self._view.silent_s
        )
        own = reports.pop(self._own_address.address)
        self._report_times.note(own.number)
        found = [
            Outgoing(address, messages.encode_message(report))
            for address, report in reports.items()
        ]
        longest = max((len(one.raw) for one in found), default=0)
        self.report_interval_s = self._intervals.find_report_interval(longest)
        return own, found

    def is_report_due(self, *, is_hurried: bool) -> bool:
        """Return whether reports are due; if so, start the next interval.

        Args:
            is_hurried: A digest is to be sent early; the reports follow it.
        """
        now = trio.current_time()
        due_s = (
            self._intervals.report_s if is_hurried else self.report_interval_s
        )
        if not self.is_hub or now < self._report_round_at + due_s:
            return False
        self._report_round_at = now
        return True

    def find_report_time(self, number: int) -> float | None:
        """Return a report round's time in trio's time, or None if unknown."""
        return self._report_times.find(number)

    def is_quota_hub(self) -> bool:
        """Return whether this daemon holds its zone's quota."""
        return self.is_hub and self._is_first_hub

    def find_quota_hub(self) -> QuotaHub | None:
        """Return the hub that holds this daemon's quota, if any hub reports.

        One hub holds the quota of the whole zone; split among several, it would
        more often be too little for a long prompt. A rate share that is
        delegated to one hub cannot be delegated to another before that ends, so
        the first hub takes over only after it has reported for a while.
        """
        oldest = trio.current_time() - _REPORT_TIMEOUT_S
        fresh = {
            address: one
            for address, one in self._hub_statuses.items()
            if one.heard_at >= oldest and address in self._own_hubs
        }
        if self.is_quota_hub() or not fresh:
            return None
        first = next(a for a in self._own_hubs if a in fresh)
        has_returned = (
            fresh[first].reporting_since
            <= trio.current_time() - _RETURN_DELAY_S
        )
        if self._quota_hub_address not in fresh or has_returned:
            self._quota_hub_address = first
        one = fresh[self._quota_hub_address]
        return QuotaHub(one.summary.hub, self._quota_hub_address, one.number)

    def list_quota_hubs(self) -> list[str]:
        """Return the addresses of the hubs to ask for quota, by preference.

        Hubs of other zones come last, for when this zone's quota is spent or
        its hubs do not answer.
        """
        quota_hub = self.find_quota_hub()
        own = [quota_hub.address] if quota_hub is not None else []
        own += [a for a in self._own_hubs if a not in own]
        key = self._own_address.address
        foreign = [
            known.summary.address
            for known in self._view.zones.list_active()
            if known.summary.zone != self._own_address.zone
        ]
        foreign.sort(key=lambda one: rendezvous.score_candidate(key, one))
        return own + foreign

    def list_other_quota_hubs(self) -> list[str]:
        """Return other zones' hubs if they exchange quota with this one."""
        return list(self._foreign_hubs) if self.is_quota_hub() else []

    def find_sole_since(self) -> float:
        """Return since when no hub uses a former process's delegation.

        A hub drops the delegations of an instance's former process when it
        receives a digest of the new one, and its report then confirms that
        digest. Infinity until all hubs have done so.
        """
        if self._sole_since == math.inf and self._has_elected:
            served = [
                self._hub_statuses.get(address) for address in self._own_hubs
            ]
            if all(one is not None and one.has_own_digest for one in served):
                self._sole_since = trio.current_time()
        return self._sole_since

    def is_log_relayed(self) -> bool:
        """Return whether a hub reads the log on behalf of this daemon.

        The second hub of a zone relies on the first one like any other daemon;
        it reads the log itself once the first one is silent.
        """
        return not self._is_first_log_reader() and self._has_other_log_reader()

    def is_log_reader(self) -> bool:
        """Return whether the zone relies on this hub to read the log."""
        if not self.is_hub:
            return False
        return self._is_first_log_reader() or not self._has_other_log_reader()

    def list_peer_states(self) -> Iterator[state_copies.PeerState]:
        """Return the versions of catalog and runner entries at the hubs."""
        summaries = [one.summary for one in self._hub_statuses.values()]
        summaries += [k.summary for k in self._view.zones.list_active()]
        for summary in summaries:
            yield state_copies.PeerState(
                summary.address,
                summary.catalog_version,
                summary.runners_changed,
                summary.log_age_ms,
            )

    def _is_first_log_reader(self) -> bool:
        return self.is_hub and self._is_first_hub

    def _has_other_log_reader(self) -> bool:
        oldest = trio.current_time() - _REPORT_TIMEOUT_S
        return any(
            one.heard_at >= oldest and one.summary.log_age_ms <= _MAX_LOG_AGE_MS
            for address, one in self._hub_statuses.items()
            if address != self._own_address.address
        )

    def _list_foreign_hubs(
        self, by_zone: dict[str, list[topology.PeerAddress]], now: float
    ) -> Iterator[str]:
        """Return other zones' hubs, elected here or recently reporting."""
        reporting = set(self._election.list_reporting(now))
        for peers in by_zone.values():
            chosen = self._election.elect_hubs(peers, now)
            yield from chosen
            yield from reporting.intersection(p.address for p in peers) - {
                *chosen
            }

    def _create_hub_state(self) -> hub.HubState:
        state = self._state
        age_s = min(state.contact.age_s, _MAX_AGE_S)
        return hub.HubState(
            state.store.version,
            state.directory.entries.changed_end,
            state.find_runners_age_ms(),
            int(age_s * _MS),
            self.find_members_end(),
            self.create_runner_reports(),
        )
