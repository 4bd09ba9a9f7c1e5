"""Aggregate a zone's digests at its hub and create the hub's messages."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from martenquay_daemon.fleet import (
    messages,
    speed_entries,
    trial_entries,
    zone_aggregator,
)
from martenquay_daemon.overload import messages as overload

if TYPE_CHECKING:
    from martenquay_daemon.fleet import zones

__all__ = ["HubState", "ZoneHub"]

# A daemon whose last digest is older than this gets no more reports.
_SUBSCRIPTION_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class HubState:
    """State of a hub itself, sent beside the sums over its zone.

    Attributes:
        catalog_version: Version of the catalog in force at the hub.
        runners_changed: Offset up to which the hub has applied changed runner
            entries.
        runners_age_ms: Time since the hub's runner entries were known to be
            complete.
        log_age_ms: Time since the log last answered the hub.
        members_end: Offset up to which all listed daemons of the zone have
            read the announcements.
        runner_reports: Limits and drains of runners known to the hub.
    """

    catalog_version: int
    runners_changed: int
    runners_age_ms: int
    log_age_ms: int
    members_end: int
    runner_reports: messages.RunnerReports


@dataclasses.dataclass
class _Subscriber:
    digest: messages.Digest
    heard_at: float


class ZoneHub:
    """Aggregates the digests of a zone and creates exchanges and reports."""

    def __init__(self, known_zones: zones.ZoneTable) -> None:
        self._zones = known_zones
        self._aggregator = zone_aggregator.ZoneAggregator()
        self._subscribers: dict[str, _Subscriber] = {}
        self._own_digest: messages.Digest | None = None
        self._summary_number = 0
        self._report_round = 0

    def apply_digest(self, digest: messages.Digest, now: float) -> bool:
        """Apply a digest from this zone; return whether it is newer."""
        if not self._aggregator.apply_digest(digest, now):
            return False
        self._subscribers[digest.address] = _Subscriber(digest, now)
        return True

    def set_own_digest(self, digest: messages.Digest, now: float) -> None:
        """Set this daemon's newest digest."""
        self._own_digest = digest
        self._aggregator.apply_digest(digest, now)

    def list_subscribers(self, now: float) -> dict[str, messages.Digest]:
        """Return the newest digests of the daemons to report to, by address."""
        oldest = now - _SUBSCRIPTION_TIMEOUT_S
        return {
            address: subscriber.digest
            for address, subscriber in self._subscribers.items()
            if subscriber.heard_at >= oldest
        }

    def drop_expired(self, now: float) -> None:
        """Drop daemons whose last digest is too old."""
        self._aggregator.drop_expired(now)
        kept = self.list_subscribers(now)
        for address in set(self._subscribers) - set(kept):
            del self._subscribers[address]

    def create_exchange(
        self, hub_state: HubState, now: float, silent_s: float
    ) -> messages.ZoneExchange:
        """Return the message for the hubs of other zones."""
        totals = self._aggregator.sum_digests(now, silent_s)
        return messages.ZoneExchange(
            self._summarize(totals, hub_state),
            totals.loads,
            hub_state.runner_reports,
            speed_entries.encode_speeds(totals.speeds),
        )

    def create_reports(
        self, hub_state: HubState, now: float, silent_s: float
    ) -> dict[str, messages.FleetReport]:
        """Return the reports to the subscribers and this hub, by address."""
        assert self._own_digest is not None, "set_own_digest was not called"
        total = self._aggregator.sum_digests(now, silent_s)
        others = [
            known
            for known in self._zones.list_active()
            if known.summary.zone != self._own_digest.zone
        ]
        # A silent zone's last figures would count as new ones at the receivers.
        others = [
            known if now - known.heard_at <= silent_s else _strip_loads(known)
            for known in others
        ]
        receivers = self.list_subscribers(now)
        receivers[self._own_digest.address] = self._own_digest
        self._report_round += 1
        reports = {}
        for address, digest in receivers.items():
            totals = self._aggregator.exclude_member(
                total, digest.member, now, silent_s
            )
            # Only the holder of the duties' lease needs all fields; this hub
            # may acquire the lease at any time.
            is_full = digest.lease is not None or digest is self._own_digest
            reports[address] = self._create_report(
                totals, others, hub_state, digest.number, is_full=is_full
            )
        return reports

    def _create_report(
        self,
        totals: zone_aggregator.ZoneTotals,
        others: list[zones.KnownSummary],
        hub_state: HubState,
        digest_number: int,
        *,
        is_full: bool,
    ) -> messages.FleetReport:
        assert self._own_digest is not None, "set_own_digest was not called"
        summaries = [self._summarize(totals, hub_state)]
        summaries += [known.summary for known in others]
        loads = dict(totals.loads)
        prefill = dict(totals.reading)
        backlog = dict(totals.backlog)
        for known in others:
            zone_aggregator.add_loads(loads, known.loads, 1)
            zone_aggregator.add_reading(prefill, known.summary.reading, 1)
            overload.add_backlog(backlog, known.summary.backlog, 1)
        found_speeds = speed_entries.sum_speeds(
            [totals.speeds, *(known.speeds for known in others)]
        )
        if not is_full:
            summaries = [_strip_duty_fields(summary) for summary in summaries]
        return messages.FleetReport(
            self._own_digest.member,
            summaries,
            loads,
            digest_number,
            self._report_round,
            prefill,
            self._own_digest.orders,
            hub_state.runner_reports,
            speed_entries.encode_speeds(found_speeds),
            backlog,
        )

    def _summarize(
        self, totals: zone_aggregator.ZoneTotals, hub_state: HubState
    ) -> messages.ZoneSummary:
        own = self._own_digest
        assert own is not None, "set_own_digest was not called"
        self._summary_number += 1
        return messages.ZoneSummary(
            zone=own.zone,
            hub=own.member,
            instance=own.instance,
            address=own.address,
            number=self._summary_number,
            daemons=totals.daemons,
            catalog_version=hub_state.catalog_version,
            runners_changed=hub_state.runners_changed,
            runners_age_ms=hub_state.runners_age_ms,
            log_age_ms=hub_state.log_age_ms,
            lease=totals.lease,
            lease_member=totals.lease_member,
            leaving=totals.leaving,
            window=own.window if totals.window is None else totals.window,
            members_end=hub_state.members_end,
            begun=totals.begun,
            demand=totals.demand,
            reading=totals.reading,
            trials=trial_entries.encode_trials(totals.trials),
            backlog=totals.backlog,
        )


def _strip_duty_fields(summary: messages.ZoneSummary) -> messages.ZoneSummary:
    """Return a summary without the fields that the duties alone need.

    Prefill sums and waiting prompts are reported once, for all zones together.
    `NO_WINDOW` keeps a new holder of the lease from closing a window whose
    counts were left out.
    """
    return msgspec.structs.replace(
        summary,
        begun={},
        demand={},
        reading={},
        trials={},
        backlog={},
        window=messages.NO_WINDOW,
    )


def _strip_loads(known: zones.KnownSummary) -> zones.KnownSummary:
    """Return what is known of a silent zone without its loads."""
    summary = msgspec.structs.replace(known.summary, reading={}, backlog={})
    return dataclasses.replace(known, summary=summary, loads={}, speeds={})
