"""Rank the daemons of a fleet as senders to each runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous
from martenquay_daemon.backpressure import send_shares

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.fleet import roster

__all__ = ["SenderRanking"]

_MAX_CACHED_RANKS = 4096


class SenderRanking:
    """Rank of this daemon among the senders to each runner.

    All daemons compute the same ranks from the roster in the platform's log, so
    a network partition changes none. Daemons in the runner's zone come first,
    as they still reach it when the zone is cut off.
    """

    def __init__(self, instance: str, daemon_roster: roster.Roster) -> None:
        self._instance = instance
        self._roster = daemon_roster
        self._roster_version = -1
        self._ranks: dict[str, send_shares.SenderRank] = {}

    def find_rank(self, runner: runners.Runner) -> send_shares.SenderRank:
        """Return this daemon's rank among the senders to a runner."""
        if self._roster.find_own_share() <= 0:
            # Not in the roster yet, this daemon ranks last: the others divide
            # all ranks before it among themselves.
            others = self._roster.list_instances() - {self._instance}
            return send_shares.SenderRank(len(others), len(others) + 1)
        if (
            self._roster_version != self._roster.changes
            or len(self._ranks) > _MAX_CACHED_RANKS
        ):
            self._roster_version = self._roster.changes
            self._ranks.clear()
        rank = self._ranks.get(runner.id)
        if rank is None:
            rank = self._ranks[runner.id] = self._compute_rank(runner)
        return rank

    def _compute_rank(self, runner: runners.Runner) -> send_shares.SenderRank:
        zones = self._roster.list_zones()
        own = self._score(runner, self._instance, zones)
        ahead = sum(self._score(runner, one, zones) > own for one in zones)
        return send_shares.SenderRank(ahead, len(zones))

    def _score(
        self, runner: runners.Runner, instance: str, zones: dict[str, str]
    ) -> tuple[bool, int, str]:
        score = rendezvous.score_candidate(runner.id, instance)
        return zones[instance] == runner.zone, score, instance
