"""Tell other daemons this one's state and take in theirs."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from martenquay_daemon.allowances import escrow, sharing
from martenquay_daemon.engines import loads
from martenquay_daemon.fleet import messages, send_times

if TYPE_CHECKING:
    from martenquay_daemon.allowances import ledger
    from martenquay_daemon.discovery import (
        catalog_store,
        contact,
        keyed_follower,
        runner_directory,
    )
    from martenquay_daemon.duties import lease, usage_counts
    from martenquay_daemon.engines import demand
    from martenquay_daemon.fleet import links, roster, view

__all__ = ["Identity", "SharedState", "StateSources"]

# The source of loads that a hub has added up over all daemons.
_FLEET = "fleet"
# A source that has told so little yet began to count a few seconds ago, so all
# that it tells was spent inside the allowances' window: news come at least
# every 0.8 s.
_FIRST_NEWS = 10
# What a log that has never answered counts as.
_LONGEST_AGE_S = 3600.0
_MS = 1000


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who a daemon is.

    Attributes:
        member: Its id; a restarted process has a new one.
        instance: Its instance.
        zone: Its availability zone.
        capacity: Of its instance's link, in Mbit/s.
    """

    member: str
    instance: str
    zone: str
    capacity: float


@dataclasses.dataclass(frozen=True)
class StateSources:
    """Where a digest's fields come from, and others' digests go to.

    Attributes:
        store: The catalog in force.
        directory: The runners.
        contact: How fresh that is.
        allowances: What teams have spent.
        units: What they may still spend here, in a small fleet.
        members: Who announced themselves in the log.
        listed: What that says of this daemon's part.
        loads: What runs at runners.
        usage: Requests begun.
        meter: Tokens that engines have to read.
        lease: The right to the duties.
        links: Where daemons are linked to.
        fleet: What others tell.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    contact: contact.LogContact
    allowances: ledger.AllowanceLedger
    units: escrow.EscrowLedger
    members: keyed_follower.KeyedFollower
    listed: roster.Roster
    loads: loads.LoadLedger
    usage: usage_counts.UsageCounts
    meter: demand.DemandMeter
    lease: lease.Lease
    links: links.FleetLinks
    fleet: view.FleetView


class SharedState:
    """Make this daemon's digests and spread what others' say.

    Attributes:
        is_leaving: Set when this daemon begins to stop.
    """

    def __init__(self, identity: Identity, sources: StateSources) -> None:
        self.is_leaving = False
        self._identity = identity
        self._sources = sources
        self._number = 0
        self._told = send_times.SendTimes()

    def create_digest(self) -> messages.Digest:
        """Return what there is to tell now."""
        sources = self._sources
        self._number += 1
        self._told.note(self._number)
        teams = sources.store.table.catalog.teams
        sources.allowances.refill(teams)
        gifts = sources.units.give(teams) if sources.links.is_mesh() else {}
        log_age_s = min(sources.contact.age_s, _LONGEST_AGE_S)
        # In a large fleet the sums would be most of the bytes; a daemon that
        # starts there reads them in the log.
        is_mesh = sources.links.is_mesh()
        return messages.Digest(
            member=self._identity.member,
            instance=self._identity.instance,
            zone=self._identity.zone,
            address=sources.links.address,
            number=self._number,
            catalog_version=sources.store.version,
            runners_changed=sources.directory.entries.changed_end,
            log_age_ms=int(log_age_s * 1000),
            capacity=self._identity.capacity,
            is_leaving=self.is_leaving,
            lease=sources.lease.create_news(),
            window=sources.usage.find_window(),
            spending=sources.allowances.list_own(),
            used=sources.allowances.list_known() if is_mesh else {},
            pools=self._list_pools() if is_mesh else {},
            gifts={member: _tell_gift(gift) for member, gift in gifts.items()},
            members_end=max(0, sources.members.end),
            loads={
                runner_id: messages.LoadLine(load.requests, load.unread_tokens)
                for runner_id, load in sources.loads.list_own().items()
            },
            begun=sources.usage.list_counts(),
            demand=sources.meter.list_rates(),
        )

    def take_digest(self, digest: messages.Digest) -> None:
        """Spread what another daemon of a small fleet tells."""
        sources = self._sources
        sources.lease.hear(
            digest.member, digest.lease, is_leaving=digest.is_leaving
        )
        sources.allowances.note_used(digest.used)
        sources.allowances.note_spending(
            digest.member,
            digest.spending,
            is_new=digest.number <= _FIRST_NEWS,
        )
        sources.loads.replace_source(digest.member, _list_loads(digest.loads))
        sources.listed.note_told(digest.instance, digest.members_end)
        self._take_units(digest)

    def _take_units(self, digest: messages.Digest) -> None:
        """Take what a daemon says of its units, and what it hands over."""
        units = self._sources.units
        holdings = {
            team: sharing.Holding(
                line.level, line.asked, line.needed, line.may_owe
            )
            for team, line in digest.pools.items()
        }
        units.hear(digest.member, digest.number, holdings)
        line = digest.gifts.get(self._identity.member)
        if line is None:
            return
        told_at = self._told.find(line.heard)
        if told_at is not None:
            units.accept(_read_gift(line), told_at)

    def take_report(self, report: messages.FleetReport) -> None:
        """Spread what a hub of a large fleet tells."""
        sources = self._sources
        for summary in report.zones:
            self._hear_lease(summary)
            sources.allowances.note_spending(
                summary.zone,
                sources.fleet.zones.find_spending(summary.zone),
                summary.daemons,
                is_new=summary.number <= _FIRST_NEWS,
            )
        sources.loads.replace_source(_FLEET, _list_loads(report.loads))

    def change_mode(self) -> None:
        """Drop what was told in the other way."""
        self._sources.allowances.forget_sources()
        self._sources.units.forget_all()
        self._sources.listed.forget_times()
        self._sources.loads.forget_sources()

    def end_member(self, member: str) -> None:
        """Drop what a daemon told that is gone for good."""
        self._sources.allowances.forget_source(member)
        self._sources.units.forget(member)
        self._sources.loads.replace_source(member, {})

    def _list_pools(self) -> dict[str, messages.PoolLine]:
        return {
            team: messages.PoolLine(
                math.floor(one.level),
                round(one.asked),
                round(one.needed),
                math.floor(one.may_owe),
            )
            for team, one in self._sources.units.list_holdings().items()
        }

    def _hear_lease(self, summary: messages.ZoneSummary) -> None:
        hear = self._sources.lease.hear
        if summary.lease is not None:
            hear(summary.lease_member, summary.lease, is_leaving=False)
        for member in summary.leaving:
            hear(member, None, is_leaving=True)


def _tell_gift(gift: escrow.Gift) -> messages.GiftLine:
    parcels = {
        team: [
            # Rounded down: no unit may live longer by its way.
            messages.ParcelLine(units, math.floor(life_s * _MS))
            for units, life_s in found
        ]
        for team, found in gift.parcels.items()
    }
    return messages.GiftLine(gift.heard, parcels)


def _read_gift(line: messages.GiftLine) -> escrow.Gift:
    parcels = {
        team: [(one.units, one.life_ms / _MS) for one in found]
        for team, found in line.parcels.items()
    }
    return escrow.Gift(line.heard, parcels)


def _list_loads(
    lines: dict[str, messages.LoadLine],
) -> dict[str, loads.RunnerLoad]:
    return {
        runner_id: loads.RunnerLoad(line.requests, line.unread_tokens)
        for runner_id, line in lines.items()
    }
