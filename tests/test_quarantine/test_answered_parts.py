"""Answered parts are remembered for a while, and a bounded number of them."""

from __future__ import annotations

import testtools

from martenquay_daemon.quarantine import answered_parts


class AnsweredPartsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.parts = answered_parts.AnsweredParts(lambda: self.now, 2)

    def test_a_part_is_remembered_for_a_while(self) -> None:
        self.parts.note(["a"])
        self.assertTrue(self.parts.has("a"))
        self.assertFalse(self.parts.has("b"))
        self.now = 21.0
        self.assertFalse(self.parts.has("a"))

    def test_the_parts_answered_longest_ago_are_dropped(self) -> None:
        self.parts.note(["a", "b"])
        self.parts.note(["a", "c"])
        self.assertEqual(2, len(self.parts))
        self.assertFalse(self.parts.has("b"))
        self.assertTrue(self.parts.has("a") and self.parts.has("c"))
