"""All daemons put each other in the same order for a runner."""

from __future__ import annotations

from martenquay_daemon.backpressure import send_order
from martenquay_daemon.fleet import roster
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(zone="b")
_ZONES = {"entry-0": "a", "entry-1": "b", "entry-2": "b", "entry-3": "c"}


def _build(instance: str) -> tuple[send_order.SenderRanking, roster.Roster]:
    known = roster.Roster(instance)
    for offset, (name, zone) in enumerate(_ZONES.items()):
        known.note_listed(name, offset, is_counted=True, zone=zone)
    return send_order.SenderRanking(instance, known), known


class SendOrderTest(clocked.ClockedTestCase):
    def test_each_has_a_rank_of_its_own_and_the_runners_zone_is_first(
        self,
    ) -> None:
        async def scenario() -> None:
            places = {
                name: _build(name)[0].find_place(_RUNNER) for name in _ZONES
            }
            ranks = sorted(one.rank for one in places.values())
            self.assertEqual([0, 1, 2, 3], ranks)
            first = [name for name, one in places.items() if one.rank < 2]
            self.assertEqual(["entry-1", "entry-2"], sorted(first))

        self.run_clocked(scenario)

    def test_a_new_daemon_comes_last_until_all_others_know_of_it(self) -> None:
        async def scenario() -> None:
            known = roster.Roster("entry-9")
            order = send_order.SenderRanking("entry-9", known)
            for offset, (name, zone) in enumerate(_ZONES.items()):
                known.note_listed(name, offset, is_counted=True, zone=zone)
            known.note_listed("entry-9", 9, is_counted=False, zone="b")
            self.assertEqual(4, order.find_place(_RUNNER).rank)
            for name in _ZONES:
                known.note_read_end(name, 10)
            self.assertLess(order.find_place(_RUNNER).rank, 3)

        self.run_clocked(scenario)

    def test_it_follows_the_list(self) -> None:
        async def scenario() -> None:
            order, known = _build("entry-3")
            self.assertEqual(4, order.find_place(_RUNNER).daemons)
            known.note_removed("entry-0")
            self.assertEqual(3, order.find_place(_RUNNER).daemons)

        self.run_clocked(scenario)

    def test_a_move_to_another_zone_changes_the_list(self) -> None:
        async def scenario() -> None:
            order, known = _build("entry-3")
            self.assertEqual(3, order.find_place(_RUNNER).rank)
            known.note_listed("entry-3", 7, is_counted=True, zone="b")
            self.assertLess(order.find_place(_RUNNER).rank, 3)

        self.run_clocked(scenario)
