"""A request is refused only for the content that crashes runners."""

from __future__ import annotations

import testtools

from martenquay_daemon.quarantine import crash_table, verdicts

_BAD = "part-bad"
_SHARED = "part-shared"


class _Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


class VerdictTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = _Clock()
        self.table = crash_table.CrashTable(self.clock)
        self.verdicts = verdicts.Verdicts(self.table, self.clock)

    def _crash(self, count: int, *contents: str) -> None:
        """Let runners end, one after the other, under these contents."""
        for _ in range(count):
            runner = f"runner-{self.table.count(contents[0])}"
            for content in contents:
                number = self.table.find_latest(content) + 1
                self.table.add(crash_table.CrashRecord(content, number, runner))

    def test_a_part_in_all_crashes_is_refused(self) -> None:
        self._crash(3, _BAD)
        verdict = self.verdicts.judge(["request", _BAD])
        self.assertEqual(verdicts.Refused(_BAD, 3600.0), verdict)

    def test_few_crashes_are_no_verdict(self) -> None:
        self._crash(2, _BAD)
        self.assertEqual(verdicts.Free(), self.verdicts.judge([_BAD]))

    def test_a_part_of_some_of_anothers_crashes_is_free(self) -> None:
        self._crash(3, _BAD, _SHARED)
        self._crash(1, _BAD)
        self.assertEqual(verdicts.Free(), self.verdicts.judge([_SHARED]))
        verdict = self.verdicts.judge([_SHARED, _BAD])
        self.assertEqual(_BAD, verdict.content)

    def test_a_part_of_the_same_crashes_as_another_is_a_suspect(self) -> None:
        self._crash(3, _BAD, _SHARED)
        self.assertEqual(
            verdicts.Suspect((_SHARED,)), self.verdicts.judge([_SHARED])
        )
        verdict = self.verdicts.judge([_SHARED, _BAD])
        self.assertIsInstance(verdict, verdicts.Refused)

    def test_two_parts_with_crashes_of_their_own_are_both_refused(self) -> None:
        self._crash(3, _BAD)
        for number in range(1, 4):
            self.table.add(
                crash_table.CrashRecord("part-worse", number, f"other-{number}")
            )
        for part in (_BAD, "part-worse"):
            verdict = self.verdicts.judge([part])
            self.assertIsInstance(verdict, verdicts.Refused)

    def test_suspects_are_sent_one_at_a_time(self) -> None:
        suspect = verdicts.Suspect((_SHARED,))
        other = verdicts.Suspect(("part-other",))
        tried = [
            self.verdicts.try_probe(one) for one in (suspect, suspect, other)
        ]
        self.assertEqual([True, False, True], tried)
        self.clock.now = 1.0
        self.assertTrue(self.verdicts.try_probe(suspect))
