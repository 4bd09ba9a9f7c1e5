"""Guard against ended runners that count until their entries lapse."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.duties import lost_runners
from martenquay_daemon.limits import ejection
from tests import clocked
from tests import serving_builders as builders

if TYPE_CHECKING:
    from martenquay_core.serving import runners


class LostRunnersTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.silent_zones: set[str] = set()
        self.known = [
            builders.build_runner(id=f"r-{n}", zone="abc"[n % 3], born_ms=1)
            for n in range(6)
        ]

    def _create(self) -> tuple[ejection.Ejector, lost_runners.LostRunners]:
        ejector = ejection.Ejector()
        return ejector, lost_runners.LostRunners(
            ejector.is_unreachable, self.silent_zones.__contains__
        )

    def _list_ids(self, present: list[runners.Runner]) -> str:
        return " ".join(runner.id for runner in present)

    def test_a_runner_that_refuses_connections_is_gone_at_once(self) -> None:
        """Its entry would count for three heartbeats more."""

        async def scenario() -> None:
            ejector, lost = self._create()
            ejector.note_unreachable("r-1")
            self.assertEqual(
                "r-0 r-2 r-3 r-4 r-5",
                self._list_ids(lost.filter_present(self.known)),
            )
            # Longer than the ejection: it must not come and go.
            await trio.sleep(2.5)
            self.assertEqual(5, len(lost.filter_present(self.known)))
            await trio.sleep(1.0)
            self.assertEqual(6, len(lost.filter_present(self.known)))

        self.run_clocked(scenario)

    def test_a_runner_that_fails_requests_is_not_lost(self) -> None:
        async def scenario() -> None:
            ejector, lost = self._create()
            for _ in range(9):
                ejector.note_failure("r-1")
            self.assertEqual(6, len(lost.filter_present(self.known)))

        self.run_clocked(scenario)

    def test_runners_of_a_zone_that_is_cut_off_are_not_lost(self) -> None:
        """A partition would order a zone's runners again."""

        async def scenario() -> None:
            ejector, lost = self._create()
            self.silent_zones.add("b")
            ejector.note_unreachable("r-1")
            self.assertEqual(6, len(lost.filter_present(self.known)))

        self.run_clocked(scenario)

    def test_if_most_refuse_connections_none_is_lost(self) -> None:
        """A fault of the lease holder would order a fleet."""

        async def scenario() -> None:
            ejector, lost = self._create()
            for runner in self.known[:4]:
                ejector.note_unreachable(runner.id)
            self.assertEqual(6, len(lost.filter_present(self.known)))

        self.run_clocked(scenario)

    def test_a_new_process_with_the_same_id_is_present(self) -> None:
        async def scenario() -> None:
            ejector, lost = self._create()
            ejector.note_unreachable("r-1")
            lost.filter_present(self.known)
            ejector.forget("r-1")
            restarted = builders.build_runner(id="r-1", zone="b", born_ms=2)
            present = lost.filter_present([restarted, *self.known[2:]])
            self.assertEqual("r-1 r-2 r-3 r-4 r-5", self._list_ids(present))

        self.run_clocked(scenario)
