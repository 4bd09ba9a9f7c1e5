"""Sum the digests of a zone's daemons at its hub."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.fleet import messages, speed_entries, trial_entries
from martenquay_daemon.overload import messages as overload

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from martenquay_daemon.duties import usage_counts
    from martenquay_daemon.engines import speeds
    from martenquay_daemon.rollouts import tallies

__all__ = ["ZoneTotals", "ZoneAggregator", "add_loads", "add_reading"]

# Request counts of a daemon that ended are lost if its digest is dropped before
# its last usage window is reported.
_FORGET_AFTER_S = 40.0
_MS = 1000


@dataclasses.dataclass
class ZoneTotals:
    """Sums over daemons of a zone.

    Attributes:
        daemons: Number of daemons that are not silent.
        window: Earliest current usage window of the daemons; None if there is
            no daemon.
        leaving: Member ids of the daemons that are shutting down.
        lease: State of the duties' lease, if one of the daemons holds it.
        lease_member: Member id of the lease's holder.
        loads: Load at runners, by runner id.
        begun: Requests started, by usage window and team.
        demand: Uncached prompt tokens a second, by service.
        reading: Prefill sums, by service.
        trials: Canary results, by service.
        speeds: Evidence on engines' speeds, by runner id.
        backlog: Waiting prompts, by service and urgency.
    """

    daemons: int = 0
    window: int | None = None
    leaving: list[str] = dataclasses.field(default_factory=list)
    lease: messages.LeaseStatus | None = None
    lease_member: str = ""
    loads: dict[str, messages.LoadEntry] = dataclasses.field(
        default_factory=dict
    )
    begun: usage_counts.WindowCounts = dataclasses.field(default_factory=dict)
    demand: dict[str, float] = dataclasses.field(default_factory=dict)
    reading: dict[str, messages.PrefillEntry] = dataclasses.field(
        default_factory=dict
    )
    trials: dict[str, tallies.Trial] = dataclasses.field(default_factory=dict)
    speeds: dict[str, speeds.SpeedSums] = dataclasses.field(
        default_factory=dict
    )
    backlog: overload.BacklogTable = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class _Member:
    digest: messages.Digest
    heard_at: float
    is_replaced: bool = False


class ZoneAggregator:
    """Holds the newest digest of each daemon of a zone and sums them."""

    def __init__(self) -> None:
        self._members: dict[str, _Member] = {}

    def apply_digest(self, digest: messages.Digest, now: float) -> bool:
        """Apply a daemon's digest; return whether it is newer."""
        known = self._members.get(digest.member)
        if known is not None and digest.number <= known.digest.number:
            return False
        if known is None:
            for other in self._members.values():
                if other.digest.instance == digest.instance:
                    other.is_replaced = True
            self._members[digest.member] = _Member(digest, now)
        else:
            known.digest = digest
            known.heard_at = now
        return True

    def drop_expired(self, now: float) -> None:
        """Drop daemons whose last digest is too old."""
        for member, known in list(self._members.items()):
            if now - known.heard_at > _FORGET_AFTER_S:
                del self._members[member]

    def list_fresh(self, now: float, silent_s: float) -> list[messages.Digest]:
        """Return the digests of the daemons that are not silent."""
        return [known.digest for known in self._list_heard(now, silent_s)]

    def sum_digests(self, now: float, silent_s: float) -> ZoneTotals:
        """Return the sums over all daemons.

        Request counts include silent and replaced daemons, whose requests were
        started all the same.

        Args:
            now: The current time, in trio's time.
            silent_s: Time without digests after which a daemon is silent.
        """
        heard = list(self._list_heard(now, silent_s))
        totals = ZoneTotals(daemons=len(heard))
        for known in self._members.values():
            for window, teams in known.digest.begun.items():
                _add_amounts(totals.begun.setdefault(window, {}), teams, 1)
        for known in heard:
            digest = known.digest
            add_loads(totals.loads, digest.loads, 1)
            _add_amounts(totals.demand, digest.demand, 1)
            add_reading(totals.reading, digest.reading, 1)
            overload.add_backlog(totals.backlog, digest.backlog, 1)
            if digest.is_leaving:
                totals.leaving.append(digest.member)
            if digest.lease is not None:
                totals.lease = _reduce_validity(
                    digest.lease, now - known.heard_at
                )
                totals.lease_member = digest.member
        totals.window = self._find_earliest_window("")
        totals.trials = _add_trials(heard)
        totals.speeds = speed_entries.sum_speeds(
            speed_entries.decode_speeds(known.digest.speeds) for known in heard
        )
        return totals

    def exclude_member(
        self, total: ZoneTotals, member: str, now: float, silent_s: float
    ) -> ZoneTotals:
        """Return the sums over all daemons but one, from the total."""
        known = self._members.get(member)
        if known is None:
            return total
        is_heard = now - known.heard_at <= silent_s and not known.is_replaced
        totals = dataclasses.replace(
            total,
            daemons=total.daemons - is_heard,
            window=self._find_earliest_window(member),
            begun={w: dict(teams) for w, teams in total.begun.items()},
        )
        for window, teams in known.digest.begun.items():
            _add_amounts(totals.begun[window], teams, -1)
        if is_heard:
            totals.loads = dict(total.loads)
            totals.demand = dict(total.demand)
            totals.reading = dict(total.reading)
            totals.backlog = dict(total.backlog)
            add_loads(totals.loads, known.digest.loads, -1)
            _add_amounts(totals.demand, known.digest.demand, -1)
            add_reading(totals.reading, known.digest.reading, -1)
            totals.speeds = speed_entries.subtract_speeds(
                total.speeds, speed_entries.decode_speeds(known.digest.speeds)
            )
            overload.add_backlog(totals.backlog, known.digest.backlog, -1)
            totals.trials = _add_trials(
                other
                for other in self._list_heard(now, silent_s)
                if other is not known
            )
        return totals

    def _list_heard(self, now: float, silent_s: float) -> Iterable[_Member]:
        return (
            known
            for known in self._members.values()
            if not known.is_replaced and now - known.heard_at <= silent_s
        )

    def _find_earliest_window(self, excluded: str) -> int | None:
        return min(
            (
                known.digest.window
                for known in self._members.values()
                if not known.is_replaced
                and not known.digest.is_leaving
                and known.digest.member != excluded
            ),
            default=None,
        )


def _add_amounts(
    total: dict[str, float] | dict[str, int],
    amounts: Mapping[str, float] | Mapping[str, int],
    sign: int,
) -> None:
    for name, amount in amounts.items():
        total[name] = total.get(name, 0) + sign * amount


def add_loads(
    total: dict[str, messages.LoadEntry],
    loads: Mapping[str, messages.LoadEntry],
    sign: int,
) -> None:
    """Add loads to a total, or subtract them with a sign of -1."""
    for runner_id, entry in loads.items():
        known = total.get(runner_id)
        requests = sign * entry.requests + (known.requests if known else 0)
        unread = sign * entry.unread_tokens
        unread += known.unread_tokens if known else 0
        if requests <= 0 and unread <= 0:
            total.pop(runner_id, None)
        else:
            total[runner_id] = messages.LoadEntry(requests, unread)


def add_reading(
    total: dict[str, messages.PrefillEntry],
    reading: Mapping[str, messages.PrefillEntry],
    sign: int,
) -> None:
    """Add prefill sums to a total, or subtract them with a sign of -1."""
    for service, entry in reading.items():
        known = total.get(service, messages.PrefillEntry(0, 0, 0))
        total[service] = messages.PrefillEntry(
            known.results + sign * entry.results,
            known.spread + sign * entry.spread,
            known.slowing_ms + sign * entry.slowing_ms,
        )


def _add_trials(members: Iterable[_Member]) -> dict[str, tallies.Trial]:
    return trial_entries.merge_trials(
        trial_entries.decode_trials(known.digest.trials) for known in members
    )


def _reduce_validity(
    status: messages.LeaseStatus, age_s: float
) -> messages.LeaseStatus | None:
    left_ms = status.left_ms - int(age_s * _MS)
    if left_ms <= 0:
        return None
    return messages.LeaseStatus(status.fence, status.end, left_ms)
