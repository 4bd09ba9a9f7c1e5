"""Build what heeds the words of runners."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.backpressure import (
    drain_reports,
    runner_backoffs,
    runner_gate,
    runner_limits,
    send_order,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.fleet import roster

__all__ = ["Backpressure", "create_backpressure"]


@dataclasses.dataclass(frozen=True)
class Backpressure:
    """What runners say of themselves, and the gate that goes by it.

    Attributes:
        limits: Limits that they name.
        leaving: Those that leave.
        gate: Asked before each request.
    """

    limits: runner_limits.RunnerLimits
    leaving: drain_reports.DrainReports
    gate: runner_gate.RunnerAdmission


def create_backpressure(
    instance: str,
    known: roster.Roster,
    leaving: drain_reports.DrainReports,
    observe: Callable[[str, str], None],
    notify_soon: Callable[[], None],
) -> Backpressure:
    """Return the parts, connected.

    Args:
        instance: This daemon's instance.
        known: The instances that share what runners take.
        leaving: The directory's: it lists none of those that leave.
        observe: Told the kind and the source of each change.
        notify_soon: Has other daemons told of a change soon.
    """
    order = send_order.SenderRanking(instance, known)
    limits = runner_limits.RunnerLimits(order.find_place)
    asked_rests = runner_backoffs.RunnerBackoffs()
    for words in (limits, leaving, asked_rests):
        words.observe = observe
    limits.notify_soon = leaving.notify_soon = notify_soon
    gate = runner_gate.RunnerAdmission(limits, leaving, asked_rests)
    return Backpressure(limits, leaving, gate)
