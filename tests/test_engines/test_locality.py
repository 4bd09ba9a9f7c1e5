"""A zone is preferred while it has capacity, and not when it is full."""

from __future__ import annotations

import trio

from martenquay_daemon.engines import loads, locality, speed_tracker
from tests import clocked
from tests import serving_builders as builders

_ENGINES = [
    builders.build_runner(id=f"r-{number}", zone="abc"[number % 3])
    for number in range(9)
]


class LocalityTest(clocked.ClockedTestCase):
    async def _find_weight(
        self, near_requests: int, far_requests: int, zone: str = "a"
    ) -> float:
        """Return the weight after these loads have lasted for a while."""
        ledger = loads.LoadLedger()
        tracker = speed_tracker.create_speed_tracker()
        found = locality.Locality(zone, ledger, tracker)
        for _ in range(100):
            await trio.sleep(0.2)
            ledger.replace_source(
                "fleet",
                {
                    one.id: loads.RunnerLoad(
                        near_requests if one.zone == "a" else far_requests
                    )
                    for one in _ENGINES
                },
            )
            found.find_weight("model", _ENGINES)
        return found.find_weight("model", _ENGINES)

    def test_a_zone_with_capacity_is_preferred(self) -> None:
        async def scenario() -> None:
            self.assertGreater(await self._find_weight(6, 8), 0.9)
            self.assertGreater(await self._find_weight(0, 0), 0.9)

        self.run_clocked(scenario)

    def test_a_full_zone_is_not_preferred(self) -> None:
        async def scenario() -> None:
            self.assertLess(await self._find_weight(12, 8), 0.1)

        self.run_clocked(scenario)

    def test_a_zone_without_engines_is_not_preferred(self) -> None:
        async def scenario() -> None:
            self.assertEqual(0.0, await self._find_weight(6, 8, "x"))

        self.run_clocked(scenario)

    def test_the_preference_starts_at_zero(self) -> None:
        # A daemon that starts in a full zone must not add to its load.
        async def scenario() -> None:
            tracker = speed_tracker.create_speed_tracker()
            found = locality.Locality("a", loads.LoadLedger(), tracker)
            self.assertEqual(0.0, found.find_weight("model", _ENGINES))

        self.run_clocked(scenario)
