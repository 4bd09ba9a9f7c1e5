"""Build the daemons of a large fleet that share allowances, without sockets."""

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

__all__ = ["Announced", "FleetRecord", "ZoneDaemon"]

_PACE = timing.ZONE_INTERVALS
# As in `quota_client`, by which a real daemon asks.
_HEDGE_S = 0.04
_LONGEST_S = 0.2
# As in `links`.
_HURRY_S = 0.04
_MOST_ASKED = 3


@dataclasses.dataclass(frozen=True)
class Announced:
    """An announcement in the log.

    Attributes:
        instance: Who announced itself.
        is_counted: It says that all others reckon with it.
    """

    instance: str
    is_counted: bool


@dataclasses.dataclass
class FleetRecord:
    """What the platform's log holds, and what operators configured.

    Attributes:
        places: Where each instance is reached.
        announcements: In their order.
        records: The catalog, decoded.
    """

    places: dict[str, topology.PeerAddress]
    announcements: list[Announced] = dataclasses.field(default_factory=list)
    records: builders.FakeRecords = dataclasses.field(
        default_factory=builders.FakeRecords
    )

    def __post_init__(self) -> None:
        """Have one team in the catalog."""
        self.records.catalogs[b"catalog"] = builders.build_catalog(
            teams=(allowance_fleet.TEAM,)
        )


@dataclasses.dataclass
class _Ask:
    """A request that waits for a keeper's answer."""

    units: float
    asked_at: float
    keepers: list[str]
    number: int


@dataclasses.dataclass
class _Wait:
    """A request of another daemon that waits for units here."""

    address: str
    number: int
    units: float
    missing: float
    until: float


class _Links:
    """What `QuotaExchange` asks of a daemon's links."""

    def is_mesh(self) -> bool:
        """Tell that the fleet is large."""
        return False

    def __init__(self, zone: zone_mode.ZoneMode, address: str) -> None:
        self.address = address
        self.find_quota_hub = zone.find_quota_hub


class ZoneDaemon:
    """One daemon of a large fleet.

    Attributes:
        instance: Its instance.
        address: Where others reach it.
    """

    def __init__(
        self,
        instance: str,
        process: int,
        record: FleetRecord,
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
        self._number = 0
        self._end = 0
        self._has_announced = False
        self._has_told = False
        self._told_at = -math.inf
        self._noted_at = -math.inf
        self._is_hurried = False
        self._asks: dict[int, _Ask] = {}
        self._waits: list[_Wait] = []
        self._known: dict[str, topology.PeerAddress] = {}
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
        self._zone = zone_mode.ZoneMode(
            place,
            self._view,
            state_copies.FleetState(store, directory, follower, log_contact),
            _PACE,
        )
        self._rights = refill_shares.RefillShares(
            lambda: refill_shares.RateShare(
                self._roster.find_own_share(), self._roster.share_since
            ),
            allowance_fleet.BOUNDS.window_s,
            self._zone.find_sole_since,
        )
        self.units = quota_ledger.create_quota_ledger(
            allowance_fleet.BOUNDS, self._rights, self._hurry
        )
        self.units.refill([allowance_fleet.TEAM])
        self._news = quota_exchange.QuotaExchange(
            self._member,
            place.zone,
            store,
            self.units,
            gate.create_gate(self.units, allowance_fleet.OwnKeeper()),
            self._roster,
            # Only how far it has read the announcements is asked of it.
            self,
            _Links(self._zone, self.address),
        )
        self._zone.find_members_end = lambda: self._news.find_zone_end(
            place.zone
        )

    @property
    def end(self) -> int:
        """Up to where it has read who announced themselves."""
        return self._end

    def _hurry(self) -> None:
        self._is_hurried = True

    def read_log(self) -> None:
        """Read who is announced, and announce this daemon."""
        found = self._record.announcements
        for offset in range(self._end, len(found)):
            one = found[offset]
            place = self._record.places[one.instance]
            self._roster.note_listed(
                one.instance,
                offset,
                is_counted=one.is_counted,
                zone=place.zone,
            )
            if one.instance != self.instance:
                self._known[place.address] = place
        self._end = len(found)
        is_counted = self._roster.counted.is_set()
        if not self._has_announced or (is_counted and not self._has_told):
            self._has_announced = True
            self._has_told = is_counted
            found.append(Announced(self.instance, is_counted))

    def act(self) -> None:
        """Do what is due, several times a second."""
        now = trio.current_time()
        self._zone.select_peers(self._known.values())
        if now >= self._told_at + _PACE.digest_s:
            self._tell_own(now)
        if self._zone.is_report_due(is_hurried=False):
            self._report()
        self._tell_units(now)

    def act_often(self) -> None:
        """Do what is not to wait for the next look at what is due."""
        now = trio.current_time()
        if self._is_hurried:
            self._tell_units(now)
        self._hedge(now)
        self._take_waits(now)

    def ask(self, units: float) -> bool:
        """Ask for units for the team; tell whether they may be spent now."""
        keepers = self._zone.list_quota_hubs()[:_MOST_ASKED]
        self._number += 1
        one = _Ask(units, trio.current_time(), keepers, self._number)
        if keepers and not self._zone.is_quota_hub():
            self._asks[one.number] = one
            self._ask_next(one)
            return False
        one.keepers = []
        match self.units.try_spend(
            allowance_fleet.TEAM, terms.AdmissionRequest(units)
        ):
            case terms.Admitted():
                return True
            case terms.HeldElsewhere(holder=holder) if holder:
                self._asks[one.number] = one
                self._ask_at(holder, one, is_redirected=True)
        return False

    def hear(self, address: str, message: messages.FleetMessage) -> float:
        """Take a message; return units that it lets a request spend."""
        match message:
            case messages.DigestMessage(digest=digest):
                self._hear_digest(digest)
            case messages.ZoneExchange():
                self._zone.apply_exchange(message)
            case messages.FleetReport():
                if self._zone.apply_report(message):
                    self._hear_zones(message)
            case messages.QuotaUpdate():
                self._news.apply_update(message)
            case messages.QuotaRequest():
                self._decide(address, message)
            case messages.QuotaReply():
                return self._hear_reply(message)
        return 0.0

    def _hear_digest(self, digest: messages.Digest) -> None:
        if not self._view.apply_digest(digest):
            return
        self._zone.apply_digest(digest)
        if digest.zone != self._place.zone:
            return
        delegation = digest.delegation
        reported_at = delegation and self._zone.find_report_time(
            delegation.heard
        )
        self._news.apply_subscriber_digest(digest, reported_at)

    def _hear_zones(self, report: messages.FleetReport) -> None:
        for summary in report.zones:
            self._roster.note_zone_read_end(summary.zone, summary.members_end)

    def _hear_reply(self, reply: messages.QuotaReply) -> float:
        one = self._asks.get(reply.number)
        match reply.verdict:
            case _ if one is None:
                return 0.0
            case messages.QuotaVerdict.WAITING:
                one.keepers.clear()
                return 0.0
            case messages.QuotaVerdict.PASSED:
                if one.keepers:
                    self._ask_next(one)
                return 0.0
            case messages.QuotaVerdict.REDIRECTED:
                one.keepers.clear()
                self._ask_at(reply.holder, one, is_redirected=True)
                return 0.0
            case messages.QuotaVerdict.REFUSED:
                return 0.0
        del self._asks[reply.number]
        is_late = trio.current_time() - one.asked_at > _LONGEST_S
        return 0.0 if is_late else one.units

    def _decide(self, address: str, want: messages.QuotaRequest) -> None:
        wish = terms.AdmissionRequest(want.units, want.reserve, want.is_late)
        if self._rights.find_usable_share() <= 0:
            passed = messages.QuotaVerdict.PASSED
            self._tell(address, messages.QuotaReply(want.number, passed))
            return
        is_again = want.is_redirected
        match self.units.try_spend(
            allowance_fleet.TEAM, wish, is_again=is_again
        ):
            case terms.Admitted():
                self._reply(address, want.number, 0.0)
            case terms.HeldElsewhere() if want.is_redirected:
                self._reply(address, want.number, 0.5)
            case terms.HeldElsewhere(holder=holder) if holder:
                redirected = messages.QuotaVerdict.REDIRECTED
                self._tell(
                    address,
                    messages.QuotaReply(want.number, redirected, holder=holder),
                )
            case terms.HeldElsewhere(missing=missing):
                waiting = messages.QuotaVerdict.WAITING
                self._tell(address, messages.QuotaReply(want.number, waiting))
                self.units.note_shortage(allowance_fleet.TEAM, missing)
                until = trio.current_time() + quota_client.HUB_WAIT_S
                self._waits.append(
                    _Wait(address, want.number, want.units, missing, until)
                )
            case _:
                self._reply(address, want.number, 0.5)

    def _tell_units(self, now: float) -> None:
        due_s = _HURRY_S if self._is_hurried else _PACE.quota_update_s
        if now < self._noted_at + due_s or not self._zone.is_quota_hub():
            return
        self._noted_at = now
        self._is_hurried = False
        note = self._news.create_update()
        for address in self._zone.list_other_quota_hubs():
            self._tell(address, note)

    def _take_waits(self, now: float) -> None:
        for one in list(self._waits):
            verdict = self.units.try_spend(
                allowance_fleet.TEAM,
                terms.AdmissionRequest(one.units),
                is_again=True,
            )
            is_admitted = isinstance(verdict, terms.Admitted)
            if is_admitted or now >= one.until:
                self.units.note_shortage(allowance_fleet.TEAM, -one.missing)
                self._waits.remove(one)
                self._reply(one.address, one.number, 0.0 if is_admitted else 1)

    def _hedge(self, now: float) -> None:
        for one in list(self._asks.values()):
            if now - one.asked_at > _LONGEST_S:
                del self._asks[one.number]
            elif one.keepers and now - one.asked_at >= _HEDGE_S:
                self._ask_next(one)

    def _ask_next(self, one: _Ask) -> None:
        self._ask_at(one.keepers.pop(0), one)

    def _ask_at(
        self, address: str, one: _Ask, *, is_redirected: bool = False
    ) -> None:
        team = allowance_fleet.TEAM.name
        want = messages.QuotaRequest(
            one.number, team, one.units, 0, False, is_redirected
        )
        self._tell(address, want)

    def _reply(self, address: str, number: int, retry_s: float) -> None:
        verdict = messages.QuotaVerdict.GRANTED
        if retry_s > 0:
            verdict = messages.QuotaVerdict.REFUSED
        reply = messages.QuotaReply(number, verdict, retry_s)
        self._tell(address, reply)

    def _tell_own(self, now: float) -> None:
        self._told_at = now if self._number else now - self._phase * 0.5
        self._number += 1
        members_end = self._news.find_members_end()
        digest = builders.build_digest(
            member=self._member,
            instance=self.instance,
            zone=self._place.zone,
            address=self.address,
            number=self._number,
            capacity=self._place.capacity,
            delegation=self._news.create_delegation(),
            members_end=members_end,
        )
        self._zone.set_own_digest(digest)
        for one in self._zone.create_digest_messages(digest):
            self._tell(one.address, messages.decode_message(one.raw))
            self._zone.note_sent(one.address)

    def _report(self) -> None:
        for one in self._zone.create_exchanges():
            self._tell(one.address, messages.decode_message(one.raw))
            self._zone.note_sent(one.address)
        own, reports = self._zone.create_reports()
        if self._zone.apply_report(own):
            self._hear_zones(own)
        for one in reports:
            self._tell(one.address, messages.decode_message(one.raw))

    def _tell(self, address: str, message: messages.FleetMessage) -> None:
        self._send(self.address, address, message)
