"""Requests match the route with the longest prefix, and keys their team."""

from __future__ import annotations

import testtools

from martenquay_daemon.forwarding import routes
from tests import serving_builders as builders


class RouteTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = routes.create_table(
            builders.build_catalog(
                routes=(
                    builders.build_route(name="all", prefix="/"),
                    builders.build_route(name="short", prefix="/a/"),
                    builders.build_route(name="long", prefix="/a/b/"),
                    builders.build_route(
                        name="open", prefix="/open/", is_public=True
                    ),
                    builders.build_route(
                        name="other", host="other.example", prefix="/a/"
                    ),
                ),
                teams=(
                    builders.build_team(name="florists", keys=("f", "g")),
                    builders.build_team(name="drivers", keys=("d",)),
                ),
            )
        )

    def _find(self, target: str, host: str = "desk.example") -> str | None:
        call = builders.build_call(target=target, host=host)
        route = self.table.find_route(call)
        return route and route.name

    def test_the_longest_prefix_wins(self) -> None:
        self.assertEqual("long", self._find("/a/b/c"))
        self.assertEqual("short", self._find("/a/bc"))
        self.assertEqual("all", self._find("/ab"))

    def test_the_query_is_no_part_of_the_path(self) -> None:
        self.assertEqual("all", self._find("/x?/a/b/"))
        self.assertEqual("short", self._find("/a/?q=/a/b/"))

    def test_another_host_has_other_routes(self) -> None:
        self.assertEqual("other", self._find("/a/b/", "other.example"))
        self.assertIsNone(self._find("/b", "other.example"))
        self.assertIsNone(self._find("/a/", "no.example"))

    def test_each_key_leads_to_its_team(self) -> None:
        self.assertEqual("florists", self.table.find_team("g").name)
        self.assertEqual("drivers", self.table.find_team("d").name)
        self.assertIsNone(self.table.find_team("x"))
        self.assertIsNone(self.table.find_team(None))

    def test_public_routes_need_no_key(self) -> None:
        found = {r.name: r for r in self.table.catalog.routes}
        self.assertTrue(self.table.needs_key(found["all"]))
        self.assertFalse(self.table.needs_key(found["open"]))
