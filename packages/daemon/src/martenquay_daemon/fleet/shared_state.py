"""Tell other daemons this one's state and take in theirs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.serving import rollouts
from martenquay_daemon.engines import loads, model
from martenquay_daemon.fleet import messages, trial_lines

if TYPE_CHECKING:
    from martenquay_daemon.discovery import (
        catalog_store,
        contact,
        runner_directory,
    )
    from martenquay_daemon.duties import lease, usage_counts
    from martenquay_daemon.engines import demand
    from martenquay_daemon.fleet import (
        links,
        quota_exchange,
        roster,
        runner_report_gossip,
        view,
    )
    from martenquay_daemon.rollouts import registry, tallies

__all__ = ["Identity", "StateGossip", "StateSources"]

# The source of loads that a hub has added up over all daemons.
_FLEET = "fleet"
_MS = 1000
# What a log that has never answered counts as.
_LONGEST_AGE_S = 3600.0


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
        units: What teams may spend, told and heard.
        listed: Who announced themselves, and how far others know that.
        loads: What runs at runners.
        runner_news: What runners say of themselves.
        usage: Requests begun.
        meter: Tokens that engines have to read.
        estimates: How fast they are.
        orders: Operators' orders of versions.
        trials: What versions on trial answered.
        lease: The right to the duties.
        links: Where daemons are linked to.
        fleet: What others tell.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    contact: contact.LogContact
    units: quota_exchange.QuotaExchange
    listed: roster.Roster
    loads: loads.LoadLedger
    runner_news: runner_report_gossip.RunnerReportGossip
    usage: usage_counts.UsageCounts
    meter: demand.DemandMeter
    estimates: model.RunnerModel
    orders: registry.RolloutRegistry
    trials: tallies.TallyTable
    lease: lease.Lease
    links: links.FleetLinks
    fleet: view.FleetView


class StateGossip:
    """Make this daemon's digests and spread what others' say.

    Attributes:
        is_leaving: Set when this daemon begins to stop.
    """

    def __init__(self, identity: Identity, sources: StateSources) -> None:
        self.is_leaving = False
        self._identity = identity
        self._sources = sources
        self._number = 0

    def create_digest(self) -> messages.Digest:
        """Return what there is to tell now."""
        sources = self._sources
        self._number += 1
        log_age_s = min(sources.contact.age_s, _LONGEST_AGE_S)
        # Told as it is before this digest's own loan: that is for others that
        # go by fewer daemons to end first.
        members_end = sources.units.find_members_end()
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
            lease=sources.lease.create_status(),
            window=sources.usage.find_window(),
            loan=sources.units.create_delegation(),
            members_end=members_end,
            loads={
                runner_id: messages.LoadEntry(load.requests, load.unread_tokens)
                for runner_id, load in sources.loads.list_own().items()
            },
            begun=sources.usage.list_counts(),
            demand=sources.meter.list_rates(),
            reading={
                service: _write_reading(sums)
                for service, sums in sources.estimates.list_own().items()
            },
            trials=trial_lines.write_trials(sources.trials.list_own()),
            orders=[
                _write_order(rollout)
                for rollout in sources.orders.list_recent()
            ],
            runner_reports=sources.runner_news.create(is_hub=False),
        )

    def apply_digest(self, digest: messages.Digest) -> None:
        """Spread what another daemon of a small fleet tells."""
        sources = self._sources
        sources.lease.apply_status(
            digest.member, digest.lease, is_leaving=digest.is_leaving
        )
        sources.loads.replace_source(digest.member, _list_loads(digest.loads))
        sources.estimates.replace_source(
            digest.member, _list_reading(digest.reading)
        )
        sources.trials.replace_source(
            digest.member, trial_lines.read_trials(digest.trials)
        )
        self._take_orders(digest.orders)
        sources.listed.note_read_end(digest.instance, digest.members_end)

    def apply_report(self, report: messages.FleetReport) -> None:
        """Spread what a hub of a large fleet tells."""
        sources = self._sources
        for summary in report.zones:
            self._hear_lease(summary)
            sources.listed.note_zone_read_end(summary.zone, summary.members_end)
        sources.loads.replace_source(_FLEET, _list_loads(report.loads))
        sources.estimates.replace_source(_FLEET, _list_reading(report.reading))
        zones = [trial_lines.read_trials(one.trials) for one in report.zones]
        sources.trials.replace_source(_FLEET, trial_lines.add_trials(zones))
        self._take_orders(report.orders)
        if sources.units.has_share_to_delegate():
            # Until it is lent, this daemon's part is of no use to anybody.
            sources.links.notify_soon()

    def change_mode(self) -> None:
        """Drop what was told in the other way."""
        self._sources.units.forget_all()
        self._sources.listed.forget_times()
        self._sources.loads.forget_sources()
        self._sources.estimates.forget_sources()
        self._sources.trials.forget_sources()

    def end_member(self, member: str) -> None:
        """Drop what a daemon told that is gone for good."""
        self._sources.units.forget(member)
        self._sources.loads.replace_source(member, {})
        self._sources.estimates.replace_source(member, {})
        self._sources.trials.replace_source(member, {})

    def _take_orders(self, lines: list[messages.RolloutOrderEntry]) -> None:
        for line in lines:
            order = rollouts.RolloutOrder(
                line.service, line.version, line.duration_s
            )
            self._sources.orders.apply_order(line.offset, order)

    def _hear_lease(self, summary: messages.ZoneSummary) -> None:
        apply_status = self._sources.lease.apply_status
        if summary.lease is not None:
            apply_status(summary.lease_member, summary.lease, is_leaving=False)
        for member in summary.leaving:
            apply_status(member, None, is_leaving=True)


def _list_loads(
    lines: dict[str, messages.LoadEntry],
) -> dict[str, loads.RunnerLoad]:
    return {
        runner_id: loads.RunnerLoad(line.requests, line.unread_tokens)
        for runner_id, line in lines.items()
    }


def _write_order(rollout: registry.Rollout) -> messages.RolloutOrderEntry:
    order = rollout.order
    return messages.RolloutOrderEntry(
        order.service, order.version, order.duration_s, rollout.offset
    )


def _write_reading(sums: model.PrefillSums) -> messages.PrefillEntry:
    return messages.PrefillEntry(
        round(sums.results), round(sums.spread), round(sums.slowing * _MS)
    )


def _list_reading(
    lines: dict[str, messages.PrefillEntry],
) -> dict[str, model.PrefillSums]:
    return {
        service: model.PrefillSums(
            line.results, line.spread, line.slowing_ms / _MS
        )
        for service, line in lines.items()
    }
