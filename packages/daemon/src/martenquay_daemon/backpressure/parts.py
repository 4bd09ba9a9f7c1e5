"""Construct the backpressure components of a daemon."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.backpressure import (
    drain_reports,
    runner_admission,
    runner_backoffs,
    runner_limits,
    send_order,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.fleet import roster

__all__ = ["Backpressure", "create_backpressure"]


@dataclasses.dataclass(frozen=True)
class Backpressure:
    """The backpressure components of one daemon.

    Attributes:
        limits: Rate limits that runners reported.
        leaving: Runners that reported that they are draining.
        admission: Admission check to call before each request.
    """

    limits: runner_limits.RunnerLimits
    leaving: drain_reports.DrainReports
    admission: runner_admission.RunnerAdmission


def create_backpressure(
    instance: str,
    daemon_roster: roster.Roster,
    leaving: drain_reports.DrainReports,
    observe: Callable[[str, str], None],
    notify_soon: Callable[[], None],
) -> Backpressure:
    """Return the components, connected to each other.

    Args:
        instance: Name of this daemon's instance.
        daemon_roster: The daemons that share the runners' limits.
        leaving: Drain reports, shared with the runner directory.
        observe: Called with the kind and the source of each new signal.
        notify_soon: Called to send a change to other daemons early.
    """
    ranking = send_order.SenderRanking(instance, daemon_roster)
    limits = runner_limits.RunnerLimits(ranking.find_rank)
    backoffs = runner_backoffs.RunnerBackoffs()
    for state in (limits, leaving, backoffs):
        state.observe = observe
    limits.notify_soon = leaving.notify_soon = notify_soon
    admission = runner_admission.RunnerAdmission(limits, leaving, backoffs)
    return Backpressure(limits, leaving, admission)
