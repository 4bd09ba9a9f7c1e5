"""Encode, decode and merge canary results for digests and zone summaries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.fleet import messages
from martenquay_daemon.rollouts import tallies

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["merge_trials", "decode_trials", "encode_trials"]


def encode_trials(
    trials: dict[str, tallies.Trial],
) -> dict[str, messages.TrialEntry]:
    """Return the entries of trials, by service."""
    return {
        service: messages.TrialEntry(
            trial.order,
            {
                route: (_encode_tally(tally.old), _encode_tally(tally.new))
                for route, tally in trial.routes.items()
            },
        )
        for service, trial in trials.items()
    }


def decode_trials(
    entries: dict[str, messages.TrialEntry],
) -> dict[str, tallies.Trial]:
    """Return the trials of entries, by service."""
    return {
        service: tallies.Trial(
            entry.order,
            {
                route: tallies.RouteTally(
                    _decode_tally(old), _decode_tally(new)
                )
                for route, (old, new) in entry.routes.items()
            },
        )
        for service, entry in entries.items()
    }


def merge_trials(
    several: Iterable[dict[str, tallies.Trial]],
) -> dict[str, tallies.Trial]:
    """Return the sums by service, of each service's newest order only."""
    total: dict[str, tallies.Trial] = {}
    for trials in several:
        for service, trial in trials.items():
            known = total.get(service, trial)
            if known is trial or known.order < trial.order:
                total[service] = trial
            else:
                total[service] = known.add(trial)
    return total


def _encode_tally(tally: tallies.OutcomeTally) -> messages.TallyEntry:
    return messages.TallyEntry(
        tally.answers,
        tally.failures,
        tally.timed,
        round(tally.log_sum, 3),
        round(tally.log_squares, 3),
    )


def _decode_tally(entry: messages.TallyEntry) -> tallies.OutcomeTally:
    return tallies.OutcomeTally(
        entry.answers,
        entry.failures,
        entry.timed,
        entry.log_sum,
        entry.log_squares,
    )
