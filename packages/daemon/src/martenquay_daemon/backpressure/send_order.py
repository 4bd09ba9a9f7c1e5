"""Put the daemons of a fleet in one order for each runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous
from martenquay_daemon.backpressure import send_shares

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.fleet import roster

__all__ = ["SenderRanking"]

# Places are kept of so many runners; the next one empties the table.
_MOST = 4096


class SenderRanking:
    """This daemon's place for each runner, by the list that all read.

    The list lies in the platform's log, so a cut changes nobody's place. Those
    of the runner's zone come first: they reach it when the zone is cut off.
    """

    def __init__(self, instance: str, known: roster.Roster) -> None:
        self._instance = instance
        self._roster = known
        self._changes = -1
        self._places: dict[str, send_shares.SenderRank] = {}

    def find_place(self, runner: runners.Runner) -> send_shares.SenderRank:
        """Return this daemon's place for a runner."""
        if self._roster.find_own_share() <= 0:
            # Those that have not read of it would not make room for it.
            others = self._roster.list_instances() - {self._instance}
            return send_shares.SenderRank(len(others), len(others) + 1)
        if self._changes != self._roster.changes or len(self._places) > _MOST:
            self._changes = self._roster.changes
            self._places.clear()
        place = self._places.get(runner.id)
        if place is None:
            place = self._places[runner.id] = self._rank(runner)
        return place

    def _rank(self, runner: runners.Runner) -> send_shares.SenderRank:
        zones = self._roster.list_zones()
        own = self._score(runner, self._instance, zones)
        before = sum(self._score(runner, one, zones) > own for one in zones)
        return send_shares.SenderRank(before, len(zones))

    def _score(
        self, runner: runners.Runner, instance: str, zones: dict[str, str]
    ) -> tuple[bool, int, str]:
        score = rendezvous.score_candidate(runner.id, instance)
        return zones[instance] == runner.zone, score, instance
