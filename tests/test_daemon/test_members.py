"""Membership updates must merge alike in any order and however often."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies

from martenquay_core.peers import messages
from martenquay_daemon.membership import table
from tests import builders

_State = messages.MemberState
_UPDATES = strategies.lists(
    strategies.builds(
        lambda name, incarnation, state: builders.build_member(
            member=f"entry-{name}", incarnation=incarnation, state=state
        ),
        strategies.integers(2, 4),
        strategies.integers(0, 3),
        strategies.sampled_from(list(_State)),
    ),
    max_size=12,
)


def _build(member: str = "entry-1") -> table.MemberTable:
    return table.MemberTable(builders.build_member(member=member), 3)


class MergeTest(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=100, database=None
    )
    @hypothesis.given(
        updates=_UPDATES, order=strategies.randoms(use_true_random=False)
    )
    def test_order_and_repetition_do_not_matter(self, updates, order):
        first, second = _build(), _build()
        for update in updates:
            first.merge(update)
        again = updates * 2
        order.shuffle(again)
        for update in again:
            second.merge(update)
        for update in updates:
            known = first.find(update.member)
            self.assertEqual(known, second.find(update.member))


class MemberTableTest(testtools.TestCase):
    def test_a_silent_daemon_is_suspected_then_dead_then_may_return(self):
        members = _build()
        other = builders.build_member(member="entry-2")
        members.merge(other)
        members.suspect("entry-2")
        self.assertFalse(members.is_gone("entry-2"))
        for _ in range(3):
            members.tick()
        self.assertTrue(members.is_gone("entry-2"))
        restarted = builders.build_member(member="entry-2", incarnation=1)
        members.merge(restarted)
        self.assertFalse(members.is_gone("entry-2"))

    def test_a_daemon_refutes_a_report_of_its_own_death(self):
        members = _build()
        dead = builders.build_member(member="entry-1", state=_State.DEAD)
        self.assertTrue(members.merge(dead))
        self.assertEqual(1, members.me.incarnation)
        self.assertEqual(_State.ALIVE, members.me.state)

    def test_a_leaving_daemon_that_refutes_stays_leaving(self):
        members = _build()
        members.announce_leaving()
        dead = builders.build_member(member="entry-1", state=_State.DEAD)
        members.merge(dead)
        self.assertEqual(_State.LEAVING, members.me.state)

    def test_a_daemon_reported_dead_gets_the_report_to_refute(self):
        members = _build()
        dead = builders.build_member(member="entry-2", state=_State.DEAD)
        members.merge(dead)
        self.assertEqual([dead], members.list_reports_to_refute("entry-2"))
        self.assertEqual([], members.list_reports_to_refute("entry-9"))

    def test_changes_are_listed_oldest_first_in_successive_pages(self):
        members = _build()
        for number in range(2, 8):
            members.merge(builders.build_member(member=f"entry-{number}"))
        seen: list[str] = []
        version = 0
        while True:
            updates, version = members.list_changes_since(version, 2)
            if not updates:
                break
            seen += [update.member for update in updates]
        self.assertEqual([f"entry-{n}" for n in range(1, 8)], seen)

    def test_a_runner_that_is_leaving_is_announced_once(self):
        members = _build()
        leaving: list[str] = []
        members.listen_for_leaving(leaving.append)
        for _ in range(2):
            members.merge(messages.RunnerLeaving("model-1"))
        self.assertEqual(["model-1"], leaving)
        self.assertTrue(members.is_leaving_runner("model-1"))
