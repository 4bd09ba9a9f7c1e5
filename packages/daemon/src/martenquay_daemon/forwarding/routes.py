"""Match requests to routes and API keys to teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog

__all__ = ["RouteTable", "create_table"]


class RouteTable:
    """Lookup tables for one version of the catalog.

    Attributes:
        catalog: The catalog that the tables are built from.
    """

    def __init__(self, content: catalog.Catalog) -> None:
        self.catalog = content
        self._by_host: dict[str, list[catalog.Route]] = {}
        for route in content.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_key = {
            key: team for team in content.teams for key in team.keys
        }

    def find_route(self, call: calls.Call) -> catalog.Route | None:
        """Return the host's route with the longest matching path prefix.

        None if no route matches.
        """
        path = call.path
        for route in self._by_host.get(call.host, []):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str | None) -> catalog.Team | None:
        """Return the team that a key belongs to, if any."""
        return None if key is None else self._by_key.get(key)

    def needs_key(self, route: catalog.Route) -> bool:
        """Return whether requests of the route must carry a key."""
        return bool(self.catalog.teams) and not route.is_public


def create_table(content: catalog.Catalog) -> RouteTable:
    """Return the lookup tables of a catalog."""
    return RouteTable(content)
