"""The parts of all daemons add up to one at the most."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from martenquay_daemon.fleet import roster
from tests import clocked

if TYPE_CHECKING:
    from collections.abc import Callable


def _read(one: roster.Roster, names: str, *, counted: str = "") -> None:
    """Have a daemon read announcements in their order."""
    for offset, name in enumerate(names):
        one.note_listed(name, offset, is_counted=name in counted)


def _in_trio(
    body: Callable[[RosterTest], None],
) -> Callable[[RosterTest], None]:
    """Have a test run where there is a clock."""

    @functools.wraps(body)
    def run(self: RosterTest) -> None:
        async def scenario() -> None:
            body(self)

        self.run_clocked(scenario)

    return run


class RosterTest(clocked.ClockedTestCase):
    @_in_trio
    def test_a_zones_part_is_that_of_its_listed_instances(self) -> None:
        one = roster.Roster("a")
        self.assertEqual(0.0, one.find_zone_share("x"))
        for offset, (name, zone) in enumerate(["ax", "bx", "cy"]):
            one.note_listed(name, offset, is_counted=True, zone=zone)
        self.assertAlmostEqual(2 / 3, one.find_zone_share("x"))

    @_in_trio
    def test_a_zones_told_end_stands_for_each_of_its_daemons(self) -> None:
        one = roster.Roster("a")
        for offset, (name, zone) in enumerate(["by", "cy", "ax"]):
            one.note_listed(name, offset, is_counted=name != "a", zone=zone)
        self.assertEqual(0.0, one.find_own_share())
        one.note_zone_read_end("y", 2)
        self.assertEqual(0.0, one.find_own_share())
        one.note_zone_read_end("y", 3)
        self.assertAlmostEqual(1 / 3, one.find_own_share())
        # A hub tells the least of what its zone's daemons have told.
        self.assertEqual(0, one.find_zone_end("y", 3))
        one.note_read_end("b", 3)
        one.note_read_end("c", 2)
        self.assertEqual(2, one.find_zone_end("y", 3))
        self.assertEqual(3, one.find_zone_end("x", 3))

    @_in_trio
    def test_a_daemon_has_no_part_before_it_has_read_its_own_announcement(
        self,
    ) -> None:
        one = roster.Roster("c")
        _read(one, "ab", counted="ab")
        self.assertEqual(0.0, one.find_own_share())

    @_in_trio
    def test_a_new_daemon_takes_its_part_when_all_others_reckon_with_it(
        self,
    ) -> None:
        one = roster.Roster("c")
        _read(one, "abc", counted="ab")
        one.note_read_end("a", 3)
        self.assertEqual(0.0, one.find_own_share())
        one.note_read_end("b", 2)
        self.assertEqual(0.0, one.find_own_share())
        one.note_read_end("b", 3)
        self.assertAlmostEqual(1 / 3, one.find_own_share())
        self.assertTrue(one.counted.is_set())

    @_in_trio
    def test_a_daemon_that_starts_anew_goes_by_its_announcement(self) -> None:
        one = roster.Roster("a")
        _read(one, "abc", counted="abc")
        self.assertAlmostEqual(1 / 3, one.find_own_share())

    @_in_trio
    def test_older_news_of_another_daemon_take_nothing_back(self) -> None:
        one = roster.Roster("b")
        _read(one, "ab", counted="a")
        one.note_read_end("a", 2)
        one.note_read_end("a", 1)
        self.assertAlmostEqual(0.5, one.find_own_share())

    @_in_trio
    def test_a_daemon_that_is_taken_off_the_list_has_no_part(self) -> None:
        one = roster.Roster("a")
        _read(one, "abc", counted="abc")
        one.note_removed("c")
        self.assertAlmostEqual(0.5, one.find_own_share())
        one.note_removed("a")
        self.assertEqual(0.0, one.find_own_share())

    @_in_trio
    def test_parts_never_exceed_one_while_daemons_read_at_their_own_pace(
        self,
    ) -> None:
        names = "abcdef"
        daemons = {name: roster.Roster(name) for name in names}
        read = dict.fromkeys(names, 0)
        # The first three have been there; the others join one by one, and
        # whoever reads next tells all how far it has come.
        for name in names[:3]:
            _read(daemons[name], names[:3], counted=names[:3])
            read[name] = 3
        for step in range(60):
            name = names[(step * 5 + step // 7) % 6]
            if read[name] < len(names):
                offset = read[name]
                daemons[name].note_listed(
                    names[offset], offset, is_counted=offset < 3
                )
                read[name] += 1
            for one in daemons.values():
                one.note_read_end(name, read[name])
            total = sum(one.find_own_share() for one in daemons.values())
            self.assertLessEqual(total, 1.0 + 1e-9)
        self.assertAlmostEqual(1.0, total)
