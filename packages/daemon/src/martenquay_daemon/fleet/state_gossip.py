"""Create this daemon's digests and apply other daemons' state."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.serving import rollouts
from martenquay_daemon.engines import loads, model
from martenquay_daemon.fleet import messages, speed_entries, trial_entries

if TYPE_CHECKING:
    from martenquay_daemon.discovery import (
        catalog_store,
        contact,
        runner_directory,
    )
    from martenquay_daemon.duties import lease, usage_counts
    from martenquay_daemon.engines import demand, speed_tracker
    from martenquay_daemon.fleet import (
        links,
        quota_exchange,
        roster,
        runner_report_gossip,
        view,
    )
    from martenquay_daemon.overload import backlog
    from martenquay_daemon.rollouts import registry, tallies

__all__ = ["Identity", "StateGossip", "StateSources"]

# Source name of the sums over all other daemons that a hub reports.
_FLEET = "fleet"
_MS = 1000
# Upper bound for ages in messages; the age of a log that never answered is
# infinite.
_MAX_AGE_S = 3600.0


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity of a daemon.

    Attributes:
        member: Member id; each process of an instance has its own.
        instance: Name of its instance.
        zone: Its availability zone.
        capacity: Bandwidth of its instance's link in Mbit/s.
    """

    member: str
    instance: str
    zone: str
    capacity: float


@dataclasses.dataclass(frozen=True)
class StateSources:
    """Parts of the daemon that digests are made from and applied to.

    Attributes:
        store: The catalog in force.
        directory: The runner entries.
        contact: Whether and when the log answered.
        quota_exchange: The teams' quota.
        listed: The instances that have announced themselves.
        loads: Load at the runners.
        backlogs: Waiting prompts by service and urgency.
        runner_report_gossip: Limits and drains that runners reported.
        usage: Counts of started requests.
        meter: Rates of uncached prompt tokens.
        estimates: Prefill speed of the engines.
        orders: Operators' rollout orders.
        trials: Canary results.
        lease: The duties' lease.
        links: Links to other daemons.
        fleet: View of the fleet.
        speeds: Speeds of the engines.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    contact: contact.LogContact
    quota_exchange: quota_exchange.QuotaExchange
    listed: roster.Roster
    loads: loads.LoadLedger
    backlogs: backlog.BacklogLedger
    runner_report_gossip: runner_report_gossip.RunnerReportGossip
    usage: usage_counts.UsageCounts
    meter: demand.DemandMeter
    estimates: model.RunnerModel
    orders: registry.RolloutRegistry
    trials: tallies.TallyTable
    lease: lease.Lease
    links: links.FleetLinks
    fleet: view.FleetView
    speeds: speed_tracker.SpeedTracker


class StateGossip:
    """Creates this daemon's digests and applies other daemons' digests.

    Attributes:
        is_leaving: Set when this daemon begins to shut down.
    """

    def __init__(self, identity: Identity, sources: StateSources) -> None:
        self.is_leaving = False
        self._identity = identity
        self._sources = sources
        self._number = 0

    def create_digest(self) -> messages.Digest:
        """Return a new digest of this daemon's state."""
        sources = self._sources
        self._number += 1
        log_age_s = min(sources.contact.age_s, _MAX_AGE_S)
        sources.meter.note_fleet_demand(sources.fleet.list_demanded())
        # Read first: `create_delegation` holds this offset back when it
        # delegates a smaller share than before.
        members_end = sources.quota_exchange.find_members_end()
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
            delegation=sources.quota_exchange.create_delegation(),
            members_end=members_end,
            loads={
                runner_id: messages.LoadEntry(load.requests, load.unread_tokens)
                for runner_id, load in sources.loads.list_own().items()
            },
            begun=sources.usage.list_counts(),
            demand=sources.meter.list_rates(),
            reading={
                service: _encode_prefill(sums)
                for service, sums in sources.estimates.list_own().items()
            },
            trials=trial_entries.encode_trials(sources.trials.list_own()),
            orders=[
                _encode_order(rollout)
                for rollout in sources.orders.list_recent()
            ],
            runner_reports=sources.runner_report_gossip.create_reports(
                is_hub=False
            ),
            speeds=speed_entries.encode_speeds(sources.speeds.list_own()),
            backlog=sources.backlogs.list_own(),
        )

    def apply_digest(self, digest: messages.Digest) -> None:
        """Apply another daemon's digest, in a small fleet."""
        sources = self._sources
        sources.lease.apply_status(
            digest.member, digest.lease, is_leaving=digest.is_leaving
        )
        sources.loads.replace_source(digest.member, _decode_loads(digest.loads))
        sources.backlogs.replace_source(digest.member, digest.backlog)
        sources.estimates.replace_source(
            digest.member, _decode_prefills(digest.reading)
        )
        sources.speeds.replace_source(
            digest.member, speed_entries.decode_speeds(digest.speeds)
        )
        sources.trials.replace_source(
            digest.member, trial_entries.decode_trials(digest.trials)
        )
        self._apply_orders(digest.orders)
        sources.listed.note_read_end(digest.instance, digest.members_end)

    def apply_report(self, report: messages.FleetReport) -> None:
        """Apply a hub's report, in a large fleet."""
        sources = self._sources
        for summary in report.zones:
            self._apply_lease(summary)
            sources.listed.note_zone_read_end(summary.zone, summary.members_end)
        sources.loads.replace_source(_FLEET, _decode_loads(report.loads))
        sources.backlogs.replace_source(_FLEET, report.backlog)
        sources.estimates.replace_source(
            _FLEET, _decode_prefills(report.reading)
        )
        sources.speeds.replace_source(
            _FLEET, speed_entries.decode_speeds(report.speeds)
        )
        zones = [
            trial_entries.decode_trials(one.trials) for one in report.zones
        ]
        sources.trials.replace_source(_FLEET, trial_entries.merge_trials(zones))
        self._apply_orders(report.orders)
        if sources.quota_exchange.has_share_to_delegate():
            # Nobody uses this daemon's share until a digest delegates it.
            sources.links.notify_soon()

    def change_mode(self) -> None:
        """Drop all other daemons' state, as the fleet became large or small."""
        self._sources.quota_exchange.forget_all()
        self._sources.listed.reset_heard_times()
        self._sources.loads.forget_sources()
        self._sources.backlogs.forget_sources()
        self._sources.estimates.forget_sources()
        self._sources.speeds.forget_sources()
        self._sources.trials.forget_sources()

    def end_member(self, member: str) -> None:
        """Drop the state of a daemon that has ended."""
        self._sources.quota_exchange.forget(member)
        self._sources.loads.replace_source(member, {})
        self._sources.backlogs.replace_source(member, {})
        self._sources.estimates.replace_source(member, {})
        self._sources.speeds.replace_source(member, {})
        self._sources.trials.replace_source(member, {})

    def _apply_orders(self, entries: list[messages.RolloutOrderEntry]) -> None:
        for entry in entries:
            order = rollouts.RolloutOrder(
                entry.service, entry.version, entry.duration_s
            )
            self._sources.orders.apply_order(entry.offset, order)

    def _apply_lease(self, summary: messages.ZoneSummary) -> None:
        apply_status = self._sources.lease.apply_status
        if summary.lease is not None:
            apply_status(summary.lease_member, summary.lease, is_leaving=False)
        for member in summary.leaving:
            apply_status(member, None, is_leaving=True)


def _decode_loads(
    entries: dict[str, messages.LoadEntry],
) -> dict[str, loads.RunnerLoad]:
    return {
        runner_id: loads.RunnerLoad(entry.requests, entry.unread_tokens)
        for runner_id, entry in entries.items()
    }


def _encode_order(rollout: registry.Rollout) -> messages.RolloutOrderEntry:
    order = rollout.order
    return messages.RolloutOrderEntry(
        order.service, order.version, order.duration_s, rollout.offset
    )


def _encode_prefill(sums: model.PrefillSums) -> messages.PrefillEntry:
    return messages.PrefillEntry(
        round(sums.results), round(sums.spread), round(sums.slowing * _MS)
    )


def _decode_prefills(
    entries: dict[str, messages.PrefillEntry],
) -> dict[str, model.PrefillSums]:
    return {
        service: model.PrefillSums(
            entry.results, entry.spread, entry.slowing_ms / _MS
        )
        for service, entry in entries.items()
    }
