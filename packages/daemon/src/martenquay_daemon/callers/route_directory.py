"""Look up the route, urgency and limits that apply to a request."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.config import objects
from martenquay_daemon.limits import admission

if TYPE_CHECKING:
    from martenquay_daemon.callers import teams
    from martenquay_daemon.configuration import store
    from martenquay_daemon.membership import directory, table

__all__ = ["RouteDirectory", "TeamRoute", "require_kind"]

_DEFAULT_CONCURRENCY = 64
_DEFAULT_QUEUE_LENGTH = 256
# A daemon may use more than an even share of a pool, since the load is not
# balanced evenly over the daemons.
_MAX_SHARE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class TeamRoute:
    """A route as configured for one team.

    Attributes:
        name: Name of the route.
        route: The route.
        pool: The pool that serves it.
        urgency: Urgency from a rule for the team, else that of the route.
    """

    name: str
    route: objects.Route
    pool: objects.Pool
    urgency: objects.Urgency


class RouteDirectory:
    """Looks up routes and pool capacity in the current configuration."""

    def __init__(
        self,
        partner: str,
        config: store.ConfigStore,
        runners: directory.RunnerDirectory,
        members: table.MemberTable,
    ) -> None:
        self._partner = partner
        self._config = config
        self._runners = runners
        self._members = members

    def find_route(
        self, name: str, team: str
    ) -> Result[TeamRoute, results.Failure]:
        """Return a route for a team; fail if it or its pool doesn't exist."""
        route = self._config.find_route(self._partner, name)
        pool = (
            self._config.find_pool(self._partner, route.pool) if route else None
        )
        if route is None or pool is None:
            code = results.ResultCode.UNKNOWN_ROUTE
            return Error(results.Failure(code, f"no route {name!r}"))
        urgency = self._find_urgency(name, team) or route.urgency
        return Ok(TeamRoute(name, route, pool, urgency))

    def build_ask(
        self, team: teams.KnownTeam, team_route: TeamRoute, cost: float
    ) -> admission.PermitRequest:
        """Return the admission request for a request of a team.

        A team's limits apply to the partner as a whole, so each serving
        daemon enforces an even share.

        Args:
            team: The team.
            team_route: The route of the request.
            cost: Tokens, or 1 for a service call.
        """
        daemons = max(1, len(self._members.list_serving(self._partner)))
        return admission.PermitRequest(
            team=team.name,
            weight=team.team.weight,
            concurrency=max(1, math.ceil(team.team.concurrency / daemons)),
            token_rate=team.team.token_rate / daemons,
            pool=team_route.route.pool,
            urgency=team_route.urgency,
            cost=cost,
            deadline=trio.current_time() + team_route.route.deadline_s,
        )

    def find_capacity(self, pool: str) -> admission.PoolCapacity:
        """Return how many requests of a pool this daemon runs and queues.

        A configured limit takes precedence over a share of the pool's slots.
        Defaults apply while no runner is known.
        """
        for _, limit in self._config.list_objects(
            self._partner, objects.Kind.LIMIT
        ):
            if isinstance(limit, objects.Limit) and limit.pool == pool:
                return admission.PoolCapacity(
                    limit.concurrency, limit.queue, limit.concurrency
                )
        runners = self._runners.list_pool(self._partner, pool)
        slots = sum(runner.slots for runner in runners)
        borrowed = self._runners.list_lent(self._partner, pool)
        slots += sum(runner.slots for runner in borrowed)
        if slots == 0:
            return admission.PoolCapacity(
                _DEFAULT_CONCURRENCY,
                _DEFAULT_QUEUE_LENGTH,
                _DEFAULT_CONCURRENCY,
            )
        daemons = max(1, len(self._members.list_serving(self._partner)))
        even_share = slots / daemons
        return admission.PoolCapacity(
            max(2, math.ceil(even_share * _MAX_SHARE_FACTOR)),
            _DEFAULT_QUEUE_LENGTH,
            even_share,
        )

    def _find_urgency(self, route: str, team: str) -> objects.Urgency | None:
        for _, rule in self._config.list_objects(
            self._partner, objects.Kind.RULE
        ):
            if not isinstance(rule, objects.Rule):
                continue
            if (rule.route, rule.team) == (route, team):
                return rule.urgency
        return None


def require_kind(
    team_route: TeamRoute, kind: objects.PoolKind
) -> Result[TeamRoute, results.Failure]:
    """Return the route, or a failure if its pool is of another kind."""
    if team_route.pool.kind is kind:
        return Ok(team_route)
    code = results.ResultCode.UNKNOWN_ROUTE
    message = (
        f"route {team_route.name!r} leads to a {team_route.pool.kind.value}"
    )
    return Error(results.Failure(code, message))
