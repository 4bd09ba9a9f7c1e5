"""Simulated daemons of a large fleet that share team quota, without sockets."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import (
    gate,
    quota_ledger,
    refill_shares,
    terms,
)
from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.fleet import (
    messages,
    quota_client,
    quota_exchange,
    roster,
    state_copies,
    timing,
    topology,
    view,
    zone_mode,
)
from martenquay_standins.ports import log
from tests import allowance_fleet
from tests import serving_builders as builders

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

__all__ = ["Announcement", "PlatformState", "ZoneDaemon"]

_INTERVALS = timing.ZONE_INTERVALS
# As in `quota_client`, which needs sockets.
_HEDGE_S = 0.04
_REQUEST_TIMEOUT_S = 0.2
# As in `links`, which needs sockets.
_MIN_QUOTA_UPDATE_S = 0.04
_MAX_HUBS = 3


@dataclasses.dataclass(frozen=True)
class Announcement:
    """An announcement in the log.

    Attributes:
        instance: Instance that announced itself.
        is_counted: All others have reduced their shares for the instance.
    """

    instance: str
    is_counted: bool


@dataclasses.dataclass
class PlatformState:
    """Content of the platform's log, and the catalog.

    Attributes:
        places: Addresses of the instances, by name.
        announcements: Announcements in the log, by offset.
        records: Decoded catalogs.
    """

    places: dict[str, topology.PeerAddress]
    announcements: list[Announcement] = dataclasses.field(default_factory=list)
    records: builders.FakeRecords = dataclasses.field(
        default_factory=builders.FakeRecords
    )

    def __post_init__(self) -> None:
        """Put one team into the catalog."""
        self.records.catalogs[b"catalog"] = builders.build_catalog(
            teams=(allowance_fleet.TEAM,)
        )


@dataclasses.dataclass
class _PendingRequest:
    """A request for quota that waits for a hub's reply."""

    units: float
    sent_at: float
    hubs: list[str]
    number: int


@dataclasses.dataclass
class _WaitingRequest:
    """A request of another daemon that waits for quota transfers here."""

    address: str
    number: int
    units: float
    missing: float
    until: float


class _QuotaLinks:
    """The methods of `FleetLinks` that `QuotaExchange` uses."""

    def is_mesh(self) -> bool:
        """Return False, as the fleet is large."""
        return False

    def __init__(self, zone: zone_mode.ZoneMode, address: str) -> None:
        self.address = address
        self.find_quota_hub = zone.find_quota_hub


class ZoneDaemon:
    """One process of a daemon.

    Attributes:
        instance: Name of its instance.
        address: Address of its fleet link.
    """

    def __init__(
        self,
        instance: str,
        process: int,
        record: PlatformState,
        rng: random.Random,
        send: Callable[[str, str, messages.FleetMessage], None],
    ) -> None:
        place = record.places[instance]
        self.instance = instance
        self.address = place.address
        self._member = f"{instance}.{process}"
        self._place = place
        self._record = record
        self._send = send
        self._phase = rng.random()
        self._last_number = 0
        self._read_end = 0
        self._has_announced = False
        self._has_announced_share = False
        self._digest_sent_at = -math.inf
        self._update_sent_at = -math.inf
        self._is_update_urgent = False
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._waiting_requests: list[_WaitingRequest] = []
        self._known_peers: dict[str, topology.PeerAddress] = {}
        self._roster = roster.Roster(instance)
        self._build(place, instance)

    def _build(self, place: topology.PeerAddress, instance: str) -> None:
        store = catalog_store.create_store(self._record.records)
        store.offer(b"catalog", "the test")
        log_contact = contact.LogContact()
        directory = runner_directory.RunnerDirectory(
            self._record.records, log_contact
        )
        follower = keyed_follower.KeyedFollower(
            log.MemoryLog(),
            log_contact,
            "runners",
            directory,
            keyed_follower.ReadSchedule(wait_s=1.0),
        )
        self._view = view.FleetView(instance)
        self._view.is_mesh = False
        self._zone_mode = zone_mode.ZoneMode(
            place,
            self._view,
            state_copies.FleetState(store, directory, follower, log_contact),
            _INTERVALS,
        )
        self._refill_shares = refill_shares.RefillShares(
            lambda: refill_shares.RateShare(
                self._roster.find_own_share(), self._roster.share_since
            ),
            allowance_fleet.BOUNDS.window_s,
            self._zone_mode.find_sole_since,
        )
        self._ledger = quota_ledger.create_quota_ledger(
            allowance_fleet.BOUNDS, self._refill_shares, self._notify_soon
        )
        self._ledger.refill([allowance_fleet.TEAM])
        self._quota_exchange = quota_exchange.QuotaExchange(
            self._member,
            place.zone,
            store,
            self._ledger,
            gate.create_gate(self._ledger, allowance_fleet.LocalQuota()),
            self._roster,
            # `QuotaExchange` uses only the property `end` of the follower.
            self,
            _QuotaLinks(self._zone_mode, self.address),
        )
        self._zone_mode.find_members_end = lambda: (
            self._quota_exchange.find_zone_end(place.zone)
        )

    @property
    def end(self) -> int:
        """Offset up to which it has read the announcements."""
        return self._read_end

    def _notify_soon(self) -> None:
        self._is_update_urgent = True

    def read_log(self) -> None:
        """Read new announcements and announce this daemon."""
        found = self._record.announcements
        for offset in range(self._read_end, len(found)):
            one = found[offset]
            place = self._record.places[one.instance]
            self._roster.note_listed(
                one.instance,
                offset,
                is_counted=one.is_counted,
                zone=place.zone,
            )
            if one.instance != self.instance:
                self._known_peers[place.address] = place
        self._read_end = len(found)
        is_counted = self._roster.counted.is_set()
        if not self._has_announced or (
            is_counted and not self._has_announced_share
        ):
            self._has_announced = True
            self._has_announced_share = is_counted
            found.append(Announcement(self.instance, is_counted))

    def run_due_work(self) -> None:
        """Send the digest, reports and quota update that are due."""
        now = trio.current_time()
        self._zone_mode.select_peers(self._known_peers.values())
        if now >= self._digest_sent_at + _INTERVALS.digest_s:
            self._send_digest(now)
        if self._zone_mode.is_report_due(is_hurried=False):
            self._send_reports()
        self._send_quota_update(now)

    def run_urgent_work(self) -> None:
        """Send an urgent quota update, hedged requests and late replies."""
        now = trio.current_time()
        if self._is_update_urgent:
            self._send_quota_update(now)
        self._send_hedged_requests(now)
        self._retry_waiting_requests(now)

    def request_units(self, units: float) -> bool:
        """Request units; return whether they may be spent at once."""
        hubs = self._zone_mode.list_quota_hubs()[:_MAX_HUBS]
        self._last_number += 1
        one = _PendingRequest(
            units, trio.current_time(), hubs, self._last_number
        )
        if hubs and not self._zone_mode.is_quota_hub():
            self._pending_requests[one.number] = one
            self._ask_next_hub(one)
            return False
        one.hubs = []
        match self._ledger.try_spend(
            allowance_fleet.TEAM, terms.AdmissionRequest(units)
        ):
            case terms.Admitted():
                return True
            case terms.HeldElsewhere(holder=holder) if holder:
                self._pending_requests[one.number] = one
                self._ask_address(holder, one, is_redirected=True)
        return False

    def handle_message(
        self, address: str, message: messages.FleetMessage
    ) -> float:
        """Process a message; return the units that it grants in time."""
        match message:
            case messages.DigestMessage(digest=digest):
                self._handle_digest(digest)
            case messages.ZoneExchange():
                self._zone_mode.apply_exchange(message)
            case messages.FleetReport():
                if self._zone_mode.apply_report(message):
                    self._apply_zone_read_ends(message)
            case messages.QuotaUpdate():
                self._quota_exchange.apply_update(message)
            case messages.QuotaRequest():
                self._handle_request(address, message)
            case messages.QuotaReply():
                return self._handle_reply(message)
        return 0.0

    def _handle_digest(self, digest: messages.Digest) -> None:
        if not self._view.apply_digest(digest):
            return
        self._zone_mode.apply_digest(digest)
        if digest.zone != self._place.zone:
            return
        delegation = digest.delegation
        reported_at = delegation and self._zone_mode.find_report_time(
            delegation.heard
        )
        self._quota_exchange.apply_subscriber_digest(digest, reported_at)

    def _apply_zone_read_ends(self, report: messages.FleetReport) -> None:
        for summary in report.zones:
            self._roster.note_zone_read_end(summary.zone, summary.members_end)

    def _handle_reply(self, reply: messages.QuotaReply) -> float:
        one = self._pending_requests.get(reply.number)
        match reply.verdict:
            case _ if one is None:
                return 0.0
            case messages.QuotaVerdict.WAITING:
                one.hubs.clear()
                return 0.0
            case messages.QuotaVerdict.PASSED:
                if one.hubs:
                    self._ask_next_hub(one)
                return 0.0
            case messages.QuotaVerdict.REDIRECTED:
                one.hubs.clear()
                self._ask_address(reply.holder, one, is_redirected=True)
                return 0.0
            case messages.QuotaVerdict.REFUSED:
                return 0.0
        del self._pending_requests[reply.number]
        is_late = trio.current_time() - one.sent_at > _REQUEST_TIMEOUT_S
        return 0.0 if is_late else one.units

    def _handle_request(
        self, address: str, request: messages.QuotaRequest
    ) -> None:
        admission = terms.AdmissionRequest(
            request.units, request.reserve, request.is_late
        )
        if self._refill_shares.find_usable_share() <= 0:
            passed = messages.QuotaVerdict.PASSED
            self._send_message(
                address, messages.QuotaReply(request.number, passed)
            )
            return
        is_again = request.is_redirected
        match self._ledger.try_spend(
            allowance_fleet.TEAM, admission, is_again=is_again
        ):
            case terms.Admitted():
                self._reply(address, request.number, 0.0)
            case terms.HeldElsewhere() if request.is_redirected:
                self._reply(address, request.number, 0.5)
            case terms.HeldElsewhere(holder=holder) if holder:
                redirected = messages.QuotaVerdict.REDIRECTED
                self._send_message(
                    address,
                    messages.QuotaReply(
                        request.number, redirected, holder=holder
                    ),
                )
            case terms.HeldElsewhere(missing=missing):
                waiting = messages.QuotaVerdict.WAITING
                self._send_message(
                    address, messages.QuotaReply(request.number, waiting)
                )
                self._ledger.note_shortage(allowance_fleet.TEAM, missing)
                until = trio.current_time() + quota_client.HUB_WAIT_S
                self._waiting_requests.append(
                    _WaitingRequest(
                        address, request.number, request.units, missing, until
                    )
                )
            case _:
                self._reply(address, request.number, 0.5)

    def _send_quota_update(self, now: float) -> None:
        due_s = (
            _MIN_QUOTA_UPDATE_S
            if self._is_update_urgent
            else _INTERVALS.quota_update_s
        )
        if (
            now < self._update_sent_at + due_s
            or not self._zone_mode.is_quota_hub()
        ):
            return
        self._update_sent_at = now
        self._is_update_urgent = False
        quota_update = self._quota_exchange.create_update()
        for address in self._zone_mode.list_other_quota_hubs():
            self._send_message(address, quota_update)

    def _retry_waiting_requests(self, now: float) -> None:
        for one in list(self._waiting_requests):
            verdict = self._ledger.try_spend(
                allowance_fleet.TEAM,
                terms.AdmissionRequest(one.units),
                is_again=True,
            )
            is_admitted = isinstance(verdict, terms.Admitted)
            if is_admitted or now >= one.until:
                self._ledger.note_shortage(allowance_fleet.TEAM, -one.missing)
                self._waiting_requests.remove(one)
                self._reply(one.address, one.number, 0.0 if is_admitted else 1)

    def _send_hedged_requests(self, now: float) -> None:
        for one in list(self._pending_requests.values()):
            if now - one.sent_at > _REQUEST_TIMEOUT_S:
                del self._pending_requests[one.number]
            elif one.hubs and now - one.sent_at >= _HEDGE_S:
                self._ask_next_hub(one)

    def _ask_next_hub(self, one: _PendingRequest) -> None:
        self._ask_address(one.hubs.pop(0), one)

    def _ask_address(
        self, address: str, one: _PendingRequest, *, is_redirected: bool = False
    ) -> None:
        team = allowance_fleet.TEAM.name
        request = messages.QuotaRequest(
            one.number, team, one.units, 0, False, is_redirected
        )
        self._send_message(address, request)

    def _reply(self, address: str, number: int, retry_s: float) -> None:
        verdict = messages.QuotaVerdict.GRANTED
        if retry_s > 0:
            verdict = messages.QuotaVerdict.REFUSED
        reply = messages.QuotaReply(number, verdict, retry_s)
        self._send_message(address, reply)

    def _send_digest(self, now: float) -> None:
        self._digest_sent_at = (
            now if self._last_number else now - self._phase * 0.5
        )
        self._last_number += 1
        members_end = self._quota_exchange.find_members_end()
        digest = builders.build_digest(
            member=self._member,
            instance=self.instance,
            zone=self._place.zone,
            address=self.address,
            number=self._last_number,
            capacity=self._place.capacity,
            delegation=self._quota_exchange.create_delegation(),
            members_end=members_end,
        )
        self._zone_mode.set_own_digest(digest)
        for one in self._zone_mode.create_digest_messages(digest):
            self._send_message(one.address, messages.decode_message(one.raw))
            self._zone_mode.note_sent(one.address)

    def _send_reports(self) -> None:
        for one in self._zone_mode.create_exchanges():
            self._send_message(one.address, messages.decode_message(one.raw))
            self._zone_mode.note_sent(one.address)
        own, reports = self._zone_mode.create_reports()
        if self._zone_mode.apply_report(own):
            self._apply_zone_read_ends(own)
        for one in reports:
            self._send_message(one.address, messages.decode_message(one.raw))

    def _send_message(
        self, address: str, message: messages.FleetMessage
    ) -> None:
        self._send(self.address, address, message)
