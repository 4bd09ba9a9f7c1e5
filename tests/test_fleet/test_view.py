"""The view must neither lose counts of ended daemons nor count any twice."""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import view
from tests import clocked
from tests import serving_builders as builders


class FleetViewTest(clocked.ClockedTestCase):
    def test_an_old_digest_is_ignored(self) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            self.assertTrue(fleet.apply_digest(builders.build_digest(number=2)))
            self.assertFalse(
                fleet.apply_digest(builders.build_digest(number=1))
            )
            self.assertFalse(
                fleet.apply_digest(builders.build_digest(number=2))
            )

        self.run_clocked(scenario)

    def test_a_restart_replaces_a_daemon_but_keeps_its_counts(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            ended: list[str] = []
            fleet.listen_for_ends(ended.append)
            fleet.apply_digest(
                builders.build_digest(begun={7: {"florists": 2}})
            )
            fleet.apply_digest(
                builders.build_digest(
                    member="entry-2.bb", begun={7: {"florists": 1}}
                )
            )
            self.assertEqual(1, len(fleet.members.list_current()))
            self.assertEqual({"florists": 3}, fleet.sum_started(7))
            self.assertEqual(["entry-2.aa"], ended)

        self.run_clocked(scenario)

    def test_a_silent_daemon_is_counted_for_a_while(self) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            fleet.apply_digest(builders.build_digest())
            await trio.sleep(5.0)
            fleet.check_silence()
            self.assertEqual([], fleet.list_fresh())
            self.assertEqual(2, fleet.count_daemons())
            await trio.sleep(60.0)
            fleet.check_silence()
            self.assertEqual(1, fleet.count_daemons())

        self.run_clocked(scenario)

    def test_a_zone_is_silent_when_all_its_daemons_are(self) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            self.assertFalse(fleet.is_zone_silent("b"))
            fleet.apply_digest(builders.build_digest())
            other = {"member": "entry-3.aa", "instance": "entry-3"}
            await trio.sleep(5.0)
            fleet.apply_digest(builders.build_digest(**other))
            self.assertFalse(fleet.is_zone_silent("b"))
            await trio.sleep(5.0)
            self.assertTrue(fleet.is_zone_silent("b"))

        self.run_clocked(scenario)

    def test_announced_daemons_are_counted_before_their_first_digest(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            fleet.note_listed({"entry-1", "entry-2", "entry-3"})
            self.assertEqual(3, fleet.count_daemons())

        self.run_clocked(scenario)

    def test_a_large_fleet_is_known_by_the_sums_of_its_zones(self) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            fleet.is_mesh = False
            now = trio.current_time()
            for zone, hub in (("a", "entry-2"), ("b", "entry-3")):
                summary = builders.build_summary(
                    zone=zone,
                    hub=f"{hub}.aa",
                    instance=hub,
                    window=8,
                    begun={7: {"florists": 2}},
                    demand={"model": 5.0},
                )
                fleet.zones.apply_summary(summary, {}, now)
            self.assertEqual(7, fleet.count_daemons())
            self.assertEqual({"florists": 4}, fleet.sum_started(7))
            self.assertEqual(10.0, fleet.sum_demand("model"))
            self.assertEqual(["entry-2", "entry-3"], fleet.list_candidates())
            self.assertTrue(fleet.has_closed(7))
            self.assertFalse(fleet.has_closed(8))
            self.assertFalse(fleet.is_zone_silent("a"))
            await trio.sleep(5.0)
            self.assertTrue(fleet.is_zone_silent("a"))

        self.run_clocked(scenario)

    def test_a_window_has_closed_when_all_digests_are_of_a_later_one(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = view.FleetView("entry-1")
            fleet.apply_digest(builders.build_digest(window=7))
            self.assertFalse(fleet.has_closed(7))
            fleet.apply_digest(builders.build_digest(window=8, number=2))
            self.assertTrue(fleet.has_closed(7))

        self.run_clocked(scenario)
