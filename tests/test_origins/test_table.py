"""The table of origins is bounded and forgets streams that cannot go on."""

from __future__ import annotations

import trio

from martenquay_daemon.origins import table
from tests import clocked
from tests import origin_builders as builders


class TableTest(clocked.ClockedTestCase):
    def test_the_oldest_origins_are_dropped(self) -> None:
        async def scenario() -> None:
            origins = table.OriginTable(max_origins=2)
            for number in (1, 2, 3):
                origins.add_begun(builders.build_origin(number))
            self.assertEqual(2, len(origins))
            self.assertIsNone(origins.find("call-1"))
            unwritten = origins.list_unwritten("model", 30.0)
            self.assertEqual(
                ["call-2", "call-3"], [o.request for o in unwritten]
            )

        self.run_clocked(scenario)

    def test_origins_of_others_are_not_written_again(self) -> None:
        async def scenario() -> None:
            origins = table.OriginTable()
            origins.add(builders.build_origin(1))
            self.assertEqual([], origins.list_unwritten("model", 30.0))
            self.assertIsNotNone(origins.find("call-1"))

        self.run_clocked(scenario)

    def test_streams_that_cannot_be_resumed_any_more_are_not_written(
        self,
    ) -> None:
        async def scenario() -> None:
            origins = table.OriginTable()
            origins.add_begun(builders.build_origin(1))
            await trio.sleep(31.0)
            origins.add_begun(builders.build_origin(2))
            unwritten = origins.list_unwritten("model", 30.0)
            self.assertEqual([builders.build_origin(2)], unwritten)

        self.run_clocked(scenario)
