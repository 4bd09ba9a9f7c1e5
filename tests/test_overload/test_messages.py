"""Sums of backlogs must equal the sum of the parts that are still in them."""

from __future__ import annotations

import testtools

from martenquay_daemon.overload import messages


class AddBacklogTest(testtools.TestCase):
    def test_subtracting_a_part_leaves_the_others(self) -> None:
        one = {"model": {0: messages.BacklogEntry(2, 900, 50)}}
        other = {
            "model": {
                0: messages.BacklogEntry(1, 100, 10),
                2: messages.BacklogEntry(3, 5000, 0),
            }
        }
        total: messages.BacklogTable = {}
        messages.add_backlog(total, one, 1)
        messages.add_backlog(total, other, 1)
        self.assertEqual(messages.BacklogEntry(3, 1000, 60), total["model"][0])
        messages.add_backlog(total, other, -1)
        self.assertEqual(one, total)

    def test_an_empty_service_is_dropped(self) -> None:
        one = {"model": {0: messages.BacklogEntry(2, 900, 50)}}
        total: messages.BacklogTable = {}
        messages.add_backlog(total, one, 1)
        messages.add_backlog(total, one, -1)
        self.assertEqual({}, total)

    def test_a_shallow_copy_keeps_the_original(self) -> None:
        """A hub subtracts each receiver from a copy of one total."""
        one = {"model": {0: messages.BacklogEntry(2, 900, 50)}}
        total: messages.BacklogTable = {}
        messages.add_backlog(total, one, 1)
        messages.add_backlog(dict(total), one, -1)
        self.assertEqual(one, total)
