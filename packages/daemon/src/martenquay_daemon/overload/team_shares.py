"""Share what is admitted under overload among teams, max-min fair."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["MIN_RELATIVE_SHARE", "TeamShares"]

# Long enough for some requests of each team to arrive at one daemon.
_DECAY_TIME_S = 8.0
# Expected requests that are added to what was counted. One daemon of a large
# fleet sees few requests of a team, and a team with two at once is not greedy.
_PRIOR_REQUESTS = 4.0
# No team is served less than this share of what all are; the contract with
# callers is a quarter, and retries and sizes also cost a part.
MIN_RELATIVE_SHARE = 0.5


@dataclasses.dataclass
class _TeamDemand:
    updated_at: float
    weight: float
    requests: float = 0.0
    units: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated_at - now) / _DECAY_TIME_S)
        self.updated_at = now
        self.requests *= factor
        self.units *= factor


class TeamShares:
    """Demand of the teams for one service at this daemon.

    A team's demand is related to its rate limit, so that a large team within
    its limit is treated as a small one.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamDemand] = {}

    def note(self, team: str, rate: float, units: float, now: float) -> None:
        """Record a request that was neither rejected before nor by quota.

        Args:
            team: Name of the team.
            rate: Its rate limit in units per second; 0 if it has none.
            units: Units that the request costs.
            now: The current time in seconds.
        """
        demand = self._teams.setdefault(team, _TeamDemand(now, rate))
        demand.decay(now)
        demand.weight = rate
        demand.requests += 1
        demand.units += units

    def find_share(self, team: str, share: float, now: float) -> float:
        """Return the share of a team's requests to admit.

        Args:
            team: Name of the team.
            share: Share of all requests to admit, from 0 to 1.
            now: The current time in seconds.
        """
        if share >= 1 or share <= 0 or team not in self._teams:
            return share
        for demand in self._teams.values():
            demand.decay(now)
        excess, expected = self._find_excess()
        limit = _find_limit(excess, expected, share)
        own = min(1.0, limit / excess[team])
        return max(own, MIN_RELATIVE_SHARE * share)

    def _find_excess(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return each team's demand relative to what is expected of it.

        Also returns what is expected of each team, as a share of all.
        """
        rates = [d.weight for d in self._teams.values() if d.weight > 0]
        usual = sum(rates) / len(rates) if rates else 1.0
        weights = {t: d.weight or usual for t, d in self._teams.items()}
        all_weights = sum(weights.values())
        units = sum(d.units for d in self._teams.values())
        requests = sum(d.requests for d in self._teams.values())
        excess = {}
        expected = {}
        for team, demand in self._teams.items():
            expected[team] = weights[team] / all_weights
            counted = demand.units / units * requests if units else 0.0
            excess[team] = (counted + _PRIOR_REQUESTS) / (
                expected[team] * requests + _PRIOR_REQUESTS
            )
        return excess, expected


def _find_limit(
    excess: dict[str, float], expected: dict[str, float], share: float
) -> float:
    """Return the demand up to which teams are admitted in full.

    Filling up all teams to this level admits `share` of the whole demand.
    """
    left = share * sum(expected[t] * excess[t] for t in excess)
    weight = sum(expected.values())
    limit = 0.0
    for team in sorted(excess, key=lambda one: excess[one]):
        limit = left / weight if weight > 0 else excess[team]
        if limit <= excess[team]:
            return limit
        left -= expected[team] * excess[team]
        weight -= expected[team]
    return max(limit, *excess.values())
