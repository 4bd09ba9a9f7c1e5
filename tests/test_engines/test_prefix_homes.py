"""Hot prompt parts get homes in each zone; others keep one in the fleet."""

from __future__ import annotations

import testtools
import trio

from martenquay_daemon.engines import prefix_homes, prefix_shares
from tests import clocked
from tests import serving_builders as builders

_ENGINES = [
    builders.build_runner(id=f"r-{number}", zone="abcd"[number % 4])
    for number in range(24)
]


def _choose(key: str, zone: str, share: float) -> list[str]:
    homes = prefix_homes.choose_homes(key, _ENGINES, zone, share)
    return [home.id for home in homes]


class PrefixHomesTest(testtools.TestCase):
    def test_a_part_that_is_not_hot_has_one_home_in_the_fleet(self) -> None:
        # Each further home would prefill it again.
        homes = {tuple(_choose("p-1", zone, 0.02)) for zone in "abcd"}
        self.assertEqual(1, len(homes))
        self.assertEqual(1, len(homes.pop()))

    def test_a_hot_part_has_a_home_in_each_zone(self) -> None:
        for zone in "abcd":
            near = [one.id for one in _ENGINES if one.zone == zone]
            found = _choose("p-1", zone, 0.08)
            self.assertTrue(set(found) & set(near))

    def test_more_traffic_gives_more_homes_and_keeps_the_earlier_ones(
        self,
    ) -> None:
        # A home that changes would prefill the part again.
        shares = (0.0, 0.03, 0.1, 0.2, 0.3, 0.6)
        homes = [set(_choose("p-1", "a", share)) for share in shares]
        for fewer, more in zip(homes, homes[1:], strict=False):
            self.assertLessEqual(fewer, more)
        self.assertGreater(len(homes[3]), len(homes[1]))

    def test_homes_of_a_zone_do_not_depend_on_the_daemons_lists(self) -> None:
        found = prefix_homes.choose_homes("p-1", _ENGINES[::-1], "b", 0.2)
        self.assertEqual(_choose("p-1", "b", 0.2), [one.id for one in found])

    def test_a_zone_without_engines_uses_the_home_of_the_fleet(self) -> None:
        self.assertEqual(_choose("p-1", "a", 0.0), _choose("p-1", "x", 0.5))


class PrefixSharesTest(clocked.ClockedTestCase):
    def test_shares_follow_the_requests(self) -> None:
        async def scenario() -> None:
            shares = prefix_shares.PrefixShares()
            found = 0.0
            for number in range(200):
                await trio.sleep(0.1)
                shares.note("model", f"p-{number}")
                found = shares.note("model", "hot")
            self.assertAlmostEqual(0.5, found, delta=0.05)
            for number in range(200):
                await trio.sleep(0.1)
                shares.note("model", f"q-{number}")
            self.assertLess(shares.note("model", "hot"), 0.15)

        self.run_clocked(scenario)

    def test_few_requests_make_no_part_hot(self) -> None:
        async def scenario() -> None:
            shares = prefix_shares.PrefixShares()
            found = {shares.note("model", "hot") for _ in range(15)}
            self.assertEqual({0.0}, found)

        self.run_clocked(scenario)

    def test_a_long_run_keeps_shares_and_memory_bounded(self) -> None:
        # The weights grow exponentially and must be scaled down in time.
        async def scenario() -> None:
            shares = prefix_shares.PrefixShares()
            found = 0.0
            for number in range(3000):
                await trio.sleep(1.0 if number % 7 == 0 else 0.05)
                shares.note("model", f"p-{number}")
                found = shares.note("model", "hot")
            self.assertAlmostEqual(0.5, found, delta=0.1)
            self.assertLess(shares.count_parts("model"), 1100)

        self.run_clocked(scenario)

    def test_requests_after_hours_without_any_are_counted(self) -> None:
        """The weight of the first one overflowed, and each one after it."""

        async def scenario() -> None:
            shares = prefix_shares.PrefixShares()
            shares.note("model", "p-1")
            await trio.sleep(10_000.0)
            shares.note("model", "p-2")
            self.assertEqual(1, shares.count_parts("model"))

        self.run_clocked(scenario)
