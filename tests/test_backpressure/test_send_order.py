"""All daemons compute the same ranks of senders to a runner."""

from __future__ import annotations

from martenquay_daemon.backpressure import send_order
from martenquay_daemon.fleet import roster
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(zone="b")
_ZONES = {"entry-0": "a", "entry-1": "b", "entry-2": "b", "entry-3": "c"}


def _build_ranking(
    instance: str,
) -> tuple[send_order.SenderRanking, roster.Roster]:
    daemons = roster.Roster(instance)
    for offset, (name, zone) in enumerate(_ZONES.items()):
        daemons.note_listed(name, offset, is_counted=True, zone=zone)
    return send_order.SenderRanking(instance, daemons), daemons


class SendOrderTest(clocked.ClockedTestCase):
    def test_ranks_are_unique_and_the_runners_zone_is_first(
        self,
    ) -> None:
        async def scenario() -> None:
            ranks_by_name = {
                name: _build_ranking(name)[0].find_rank(_RUNNER)
                for name in _ZONES
            }
            ranks = sorted(rank.rank for rank in ranks_by_name.values())
            self.assertEqual([0, 1, 2, 3], ranks)
            first = [
                name for name, rank in ranks_by_name.items() if rank.rank < 2
            ]
            self.assertEqual(["entry-1", "entry-2"], sorted(first))

        self.run_clocked(scenario)

    def test_a_new_daemon_is_last_until_all_others_know_of_it(self) -> None:
        async def scenario() -> None:
            daemons = roster.Roster("entry-9")
            ranking = send_order.SenderRanking("entry-9", daemons)
            for offset, (name, zone) in enumerate(_ZONES.items()):
                daemons.note_listed(name, offset, is_counted=True, zone=zone)
            daemons.note_listed("entry-9", 9, is_counted=False, zone="b")
            self.assertEqual(4, ranking.find_rank(_RUNNER).rank)
            for name in _ZONES:
                daemons.note_read_end(name, 10)
            self.assertLess(ranking.find_rank(_RUNNER).rank, 3)

        self.run_clocked(scenario)

    def test_ranks_follow_the_roster(self) -> None:
        async def scenario() -> None:
            ranking, daemons = _build_ranking("entry-3")
            self.assertEqual(4, ranking.find_rank(_RUNNER).daemons)
            daemons.note_removed("entry-0")
            self.assertEqual(3, ranking.find_rank(_RUNNER).daemons)

        self.run_clocked(scenario)

    def test_a_move_to_another_zone_changes_the_rank(self) -> None:
        async def scenario() -> None:
            ranking, daemons = _build_ranking("entry-3")
            self.assertEqual(3, ranking.find_rank(_RUNNER).rank)
            daemons.note_listed("entry-3", 7, is_counted=True, zone="b")
            self.assertLess(ranking.find_rank(_RUNNER).rank, 3)

        self.run_clocked(scenario)
