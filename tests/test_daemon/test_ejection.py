"""Failing runners are ejected for a while, but never most of a pool."""

from __future__ import annotations

import trio

from martenquay_daemon.limits import ejection
from tests import clocked

_RUNNERS = ["r-1", "r-2", "r-3"]


class EjectorTest(clocked.ClockedTestCase):
    def test_an_unreachable_runner_is_ejected_at_once(self) -> None:
        async def scenario() -> None:
            ejector = ejection.Ejector()
            ejector.note_unreachable("r-1")
            self.assertEqual(["r-2", "r-3"], ejector.filter_usable(_RUNNERS))
            await trio.sleep(1.5)
            self.assertEqual(_RUNNERS, ejector.filter_usable(_RUNNERS))

        self.run_clocked(scenario)

    def test_a_runner_is_ejected_after_three_failures(self) -> None:
        async def scenario() -> None:
            ejector = ejection.Ejector()
            ejector.note_failure("r-1")
            ejector.note_failure("r-1")
            self.assertEqual(_RUNNERS, ejector.filter_usable(_RUNNERS))
            ejector.note_failure("r-1")
            self.assertEqual(["r-2", "r-3"], ejector.filter_usable(_RUNNERS))

        self.run_clocked(scenario)

    def test_a_new_process_is_not_ejected(
        self,
    ) -> None:
        async def scenario() -> None:
            ejector = ejection.Ejector()
            ejector.note_unreachable("r-1")
            ejector.forget("r-1")
            self.assertEqual(_RUNNERS, ejector.filter_usable(_RUNNERS))

        self.run_clocked(scenario)

    def test_most_of_a_pool_is_never_ejected(self) -> None:
        async def scenario() -> None:
            ejector = ejection.Ejector()
            for runner in ("r-1", "r-2"):
                ejector.note_unreachable(runner)
            self.assertEqual(_RUNNERS, ejector.filter_usable(_RUNNERS))

        self.run_clocked(scenario)
