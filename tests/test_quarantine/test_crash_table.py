"""Crash records lead to a quarantine, in whatever order they arrive."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from martenquay_daemon.quarantine import crash_table

_HOUR_S = 3600.0
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def _build_table(
    max_contents: int = 100,
) -> tuple[crash_table.CrashTable, _Clock]:
    clock = _Clock()
    return crash_table.CrashTable(clock, max_contents), clock


def _add_crash(
    table: crash_table.CrashTable, content: str
) -> crash_table.CrashRecord:
    number = table.find_latest(content) + 1
    crash = crash_table.CrashRecord(content, number, f"runner-{number}")
    table.add(crash)
    return crash


class QuarantineTest(testtools.TestCase):
    def test_the_third_crash_starts_a_quarantine(self) -> None:
        table, _ = _build_table()
        quarantines = []
        for _ in range(3):
            quarantines.append(table.find_quarantine_s("a"))
            _add_crash(table, "a")
        self.assertEqual([None] * 3, quarantines)
        self.assertEqual(_HOUR_S, table.find_quarantine_s("a"))
        self.assertIsNone(table.find_quarantine_s("b"))

    def test_an_answer_removes_all_crash_records(self) -> None:
        table, _ = _build_table()
        added = [_add_crash(table, "a") for _ in range(3)]
        self.assertEqual(added, table.remove_content("a"))
        self.assertIsNone(table.find_quarantine_s("a"))
        self.assertEqual(0, len(table))

    def test_runners_that_end_together_start_no_quarantine(self) -> None:
        table, _ = _build_table()
        self._end_together(table, 12)
        self.assertEqual(12, table.count("a"))
        self.assertIsNone(table.find_quarantine_s("a"))

    def test_a_content_at_three_daemons_at_once_needs_two_rounds(
        self,
    ) -> None:
        table, _ = _build_table()
        self._end_together(table, 3)
        _add_crash(table, "a")
        self.assertIsNotNone(table.find_quarantine_s("a"))

    def test_a_content_at_two_daemons_at_once_needs_two_rounds(
        self,
    ) -> None:
        table, _ = _build_table()
        self._end_together(table, 2)
        self.assertIsNone(table.find_quarantine_s("a"))
        self._end_together(table, 2)
        self.assertIsNotNone(table.find_quarantine_s("a"))

    def _end_together(self, table: crash_table.CrashTable, count: int) -> None:
        number = table.find_latest("a") + 1
        for rank in range(count):
            table.add(
                crash_table.CrashRecord("a", number, f"runner-{number}-{rank}")
            )

    def test_numbers_continue_after_a_record_was_removed(self) -> None:
        table, _ = _build_table()
        first = _add_crash(table, "a")
        _add_crash(table, "a")
        table.remove(first)
        for _ in range(2):
            _add_crash(table, "a")
        self.assertIsNotNone(table.find_quarantine_s("a"))

    def test_after_a_quarantine_one_crash_starts_the_next(self) -> None:
        table, clock = _build_table()
        for _ in range(3):
            _add_crash(table, "a")
        clock.now = _HOUR_S + 1.0
        self.assertIsNone(table.find_quarantine_s("a"))
        _add_crash(table, "a")
        self.assertEqual(2 * _HOUR_S, table.find_quarantine_s("a"))

    def test_a_quarantine_lasts_a_day_at_most(self) -> None:
        table, _ = _build_table()
        for _ in range(40):
            _add_crash(table, "a")
        self.assertEqual(24 * _HOUR_S, table.find_quarantine_s("a"))


class DroppingTest(testtools.TestCase):
    def test_a_content_without_a_crash_for_two_days_is_dropped(self) -> None:
        table, clock = _build_table()
        dropped: list[crash_table.CrashRecord] = []
        table.on_dropped = dropped.extend
        old = _add_crash(table, "a")
        clock.now = 48 * _HOUR_S + 1.0
        _add_crash(table, "b")
        self.assertEqual([old], dropped)
        self.assertEqual(0, table.count("a"))

    def test_a_full_table_keeps_quarantined_contents(self) -> None:
        table, _ = _build_table(max_contents=10)
        for _ in range(3):
            _add_crash(table, "lethal")
        for number in range(500):
            _add_crash(table, f"beside-{number}")
        self.assertEqual(10, len(table))
        self.assertIsNotNone(table.find_quarantine_s("lethal"))


_CRASH_RECORD = strategies.builds(
    crash_table.CrashRecord,
    strategies.sampled_from("abc"),
    strategies.integers(1, 6),
    strategies.sampled_from(["r-1", "r-2", "r-3"]),
)


class OrderTest(testtools.TestCase):
    @_SETTINGS
    @hypothesis.given(
        strategies.lists(_CRASH_RECORD, max_size=12).flatmap(
            lambda found: strategies.tuples(
                strategies.just(found), strategies.permutations(found)
            )
        )
    )
    def test_daemons_that_read_the_same_records_agree(
        self,
        orders: tuple[
            list[crash_table.CrashRecord], list[crash_table.CrashRecord]
        ],
    ) -> None:
        quarantines = []
        for order in orders:
            table, _ = _build_table()
            for crash in order:
                table.add(crash)
            quarantines.append(
                [table.find_quarantine_s(name) for name in "abc"]
            )
        self.assertEqual(quarantines[0], quarantines[1])

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(_CRASH_RECORD, max_size=12),
        strategies.lists(_CRASH_RECORD, max_size=12),
    )
    def test_a_snapshot_replaces_all_that_came_before(
        self,
        before: list[crash_table.CrashRecord],
        after: list[crash_table.CrashRecord],
    ) -> None:
        table, _ = _build_table()
        for crash in before:
            table.add(crash)
        table.replace_all(after)
        fresh, _ = _build_table()
        for crash in after:
            fresh.add(crash)
        for name in "abc":
            self.assertEqual(fresh.count(name), table.count(name))
            self.assertEqual(fresh.find_latest(name), table.find_latest(name))
