"""Tell other daemons what versions on trial answered, and read theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.fleet import messages
from martenquay_daemon.rollouts import tallies

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["add_trials", "read_trials", "write_trials"]


def write_trials(
    trials: dict[str, tallies.Trial],
) -> dict[str, messages.TrialEntry]:
    """Return what to tell."""
    return {
        service: messages.TrialEntry(
            trial.order,
            {
                route: (_write_side(tally.old), _write_side(tally.new))
                for route, tally in trial.routes.items()
            },
        )
        for service, trial in trials.items()
    }


def read_trials(
    lines: dict[str, messages.TrialEntry],
) -> dict[str, tallies.Trial]:
    """Return what was told."""
    return {
        service: tallies.Trial(
            line.order,
            {
                route: tallies.RouteTally(_read_side(old), _read_side(new))
                for route, (old, new) in line.routes.items()
            },
        )
        for service, line in lines.items()
    }


def add_trials(
    several: Iterable[dict[str, tallies.Trial]],
) -> dict[str, tallies.Trial]:
    """Return all together; of a service the trial of its newest order."""
    total: dict[str, tallies.Trial] = {}
    for trials in several:
        for service, trial in trials.items():
            known = total.get(service, trial)
            if known is trial or known.order < trial.order:
                total[service] = trial
            else:
                total[service] = known.add(trial)
    return total


def _write_side(side: tallies.OutcomeTally) -> messages.TallyEntry:
    return messages.TallyEntry(
        side.answers,
        side.failures,
        side.timed,
        round(side.log_sum, 3),
        round(side.log_squares, 3),
    )


def _read_side(line: messages.TallyEntry) -> tallies.OutcomeTally:
    return tallies.OutcomeTally(
        line.answers,
        line.failures,
        line.timed,
        line.log_sum,
        line.log_squares,
    )
