"""A background task that fails is logged and restarted."""

from __future__ import annotations

import eliot
import trio

from martenquay_daemon import supervision
from tests import clocked


class SupervisionTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.starts = 0
        self.lines: list[dict[str, object]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    async def _fail_twice(self) -> None:
        self.starts += 1
        if self.starts <= 2:
            raise ValueError(f"fault {self.starts}")

    async def _fail_in_a_nursery(self) -> None:
        self.starts += 1
        async with trio.open_nursery() as nursery:
            if self.starts == 1:
                nursery.start_soon(self._fail_twice)

    def test_a_task_that_fails_is_restarted_until_it_ends(self) -> None:
        async def scenario() -> None:
            await supervision.keep_running("usage", self._fail_twice)

        self.run_clocked(scenario)
        self.assertEqual(3, self.starts)
        self.assertEqual(2, len(self.lines))
        self.assertIn("fault 1", self.lines[0]["text"])
        self.assertIn("_fail_twice", self.lines[0]["trace"])

    def test_a_failure_inside_a_nursery_is_handled(self) -> None:
        async def scenario() -> None:
            await supervision.keep_running("links", self._fail_in_a_nursery)

        self.run_clocked(scenario)
        self.assertGreaterEqual(self.starts, 2)

    def test_cancelling_ends_the_supervision(self) -> None:
        async def scenario() -> None:
            with trio.move_on_after(5.0):
                await supervision.keep_running("lease", trio.sleep_forever)

        self.run_clocked(scenario)

    def test_a_task_that_fails_while_it_is_cancelled_ends_as_cancelled(
        self,
    ) -> None:
        async def fail_at_end() -> None:
            try:
                await trio.sleep_forever()
            finally:
                raise ValueError("fault at the end")

        async def run_two() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail_at_end)
                nursery.start_soon(trio.sleep_forever)

        async def scenario() -> None:
            with trio.move_on_after(1.0) as scope:
                await supervision.keep_running("usage", run_two)
            self.assertTrue(scope.cancelled_caught)

        self.run_clocked(scenario)
        self.assertIn("fault at the end", self.lines[0]["trace"])

    def test_a_contained_fault_has_its_traceback_in_the_log(self) -> None:
        async def scenario() -> None:
            await supervision.run_contained(
                "link", self._fail_twice, address="127.0.0.1:1"
            )

        self.run_clocked(scenario)
        self.assertEqual(1, self.starts)
        self.assertEqual("127.0.0.1:1", self.lines[0]["address"])
        self.assertIn("_fail_twice", self.lines[0]["trace"])
