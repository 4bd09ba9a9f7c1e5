"""Strikes add up to a verdict, whatever order they come in."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from martenquay_daemon.quarantine import strikes

_HOUR_S = 3600.0
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def _build_table(most: int = 100) -> tuple[strikes.CrashTable, _Clock]:
    clock = _Clock()
    return strikes.CrashTable(clock, most), clock


def _strike(table: strikes.CrashTable, content: str) -> strikes.CrashRecord:
    number = table.find_latest(content) + 1
    strike = strikes.CrashRecord(content, number, f"runner-{number}")
    table.add(strike)
    return strike


class VerdictTest(testtools.TestCase):
    def test_the_third_runner_that_ends_is_the_last(self) -> None:
        table, _ = _build_table()
        holds = []
        for _ in range(3):
            holds.append(table.find_hold("a"))
            _strike(table, "a")
        self.assertEqual([None] * 3, holds)
        self.assertEqual(_HOUR_S, table.find_hold("a"))
        self.assertIsNone(table.find_hold("b"))

    def test_an_answer_takes_all_strikes_back(self) -> None:
        table, _ = _build_table()
        written = [_strike(table, "a") for _ in range(3)]
        self.assertEqual(written, table.remove_content("a"))
        self.assertIsNone(table.find_hold("a"))
        self.assertEqual(0, len(table))

    def test_runners_that_end_at_once_are_no_verdict(self) -> None:
        table, _ = _build_table()
        self._end_at_once(table, 12)
        self.assertEqual(12, table.count("a"))
        self.assertIsNone(table.find_hold("a"))

    def test_one_that_comes_to_three_daemons_at_once_has_two_rounds(
        self,
    ) -> None:
        table, _ = _build_table()
        self._end_at_once(table, 3)
        _strike(table, "a")
        self.assertIsNotNone(table.find_hold("a"))

    def test_one_that_comes_to_two_daemons_at_once_has_two_rounds(
        self,
    ) -> None:
        table, _ = _build_table()
        self._end_at_once(table, 2)
        self.assertIsNone(table.find_hold("a"))
        self._end_at_once(table, 2)
        self.assertIsNotNone(table.find_hold("a"))

    def _end_at_once(self, table: strikes.CrashTable, count: int) -> None:
        number = table.find_latest("a") + 1
        for place in range(count):
            table.add(
                strikes.CrashRecord("a", number, f"runner-{number}-{place}")
            )

    def test_numbers_go_on_where_some_were_taken_back(self) -> None:
        table, _ = _build_table()
        first = _strike(table, "a")
        _strike(table, "a")
        table.remove(first)
        for _ in range(2):
            _strike(table, "a")
        self.assertIsNotNone(table.find_hold("a"))

    def test_after_the_quarantine_one_crash_is_enough(self) -> None:
        table, clock = _build_table()
        for _ in range(3):
            _strike(table, "a")
        clock.now = _HOUR_S + 1.0
        self.assertIsNone(table.find_hold("a"))
        _strike(table, "a")
        self.assertEqual(2 * _HOUR_S, table.find_hold("a"))

    def test_a_quarantine_lasts_a_day_at_most(self) -> None:
        table, _ = _build_table()
        for _ in range(40):
            _strike(table, "a")
        self.assertEqual(24 * _HOUR_S, table.find_hold("a"))


class ForgettingTest(testtools.TestCase):
    def test_a_content_without_a_crash_for_two_days_is_forgotten(self) -> None:
        table, clock = _build_table()
        dropped: list[strikes.CrashRecord] = []
        table.on_dropped = dropped.extend
        old = _strike(table, "a")
        clock.now = 48 * _HOUR_S + 1.0
        _strike(table, "b")
        self.assertEqual([old], dropped)
        self.assertEqual(0, table.count("a"))

    def test_a_full_table_keeps_its_verdicts(self) -> None:
        table, _ = _build_table(most=10)
        for _ in range(3):
            _strike(table, "lethal")
        for number in range(500):
            _strike(table, f"beside-{number}")
        self.assertEqual(10, len(table))
        self.assertIsNotNone(table.find_hold("lethal"))


_STRIKE = strategies.builds(
    strikes.CrashRecord,
    strategies.sampled_from("abc"),
    strategies.integers(1, 6),
    strategies.sampled_from(["r-1", "r-2", "r-3"]),
)


class OrderTest(testtools.TestCase):
    @_SETTINGS
    @hypothesis.given(
        strategies.lists(_STRIKE, max_size=12).flatmap(
            lambda found: strategies.tuples(
                strategies.just(found), strategies.permutations(found)
            )
        )
    )
    def test_two_daemons_that_read_the_same_reach_one_verdict(
        self,
        orders: tuple[list[strikes.CrashRecord], list[strikes.CrashRecord]],
    ) -> None:
        verdicts = []
        for order in orders:
            table, _ = _build_table()
            for strike in order:
                table.add(strike)
            verdicts.append([table.find_hold(name) for name in "abc"])
        self.assertEqual(verdicts[0], verdicts[1])

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(_STRIKE, max_size=12),
        strategies.lists(_STRIKE, max_size=12),
    )
    def test_a_snapshot_replaces_all_that_came_before(
        self,
        before: list[strikes.CrashRecord],
        after: list[strikes.CrashRecord],
    ) -> None:
        table, _ = _build_table()
        for strike in before:
            table.add(strike)
        table.replace_all(after)
        fresh, _ = _build_table()
        for strike in after:
            fresh.add(strike)
        for name in "abc":
            self.assertEqual(fresh.count(name), table.count(name))
            self.assertEqual(fresh.find_latest(name), table.find_latest(name))
