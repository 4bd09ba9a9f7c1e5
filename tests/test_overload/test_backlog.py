"""Backlogs follow what is sent and what is prefilled, with old reports too."""

from __future__ import annotations

import trio

from martenquay_daemon.overload import backlog, messages
from tests import clocked

_SPEED = 10_000.0


def _report(tokens: int, rate: int = 0) -> messages.BacklogTable:
    return {"model": {0: messages.BacklogEntry(4, tokens, rate)}}


class BacklogLedgerTest(clocked.ClockedTestCase):
    def test_own_requests_count_until_their_first_event(self) -> None:
        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            first = ledger.begin("model", 1, 600)
            ledger.begin("model", 1, 400)
            first.end()
            first.end()
            found = ledger.find("model", _SPEED)[1]
            self.assertEqual((1, 400), (found.requests, found.unread_tokens))

        self.run_clocked(scenario)

    def test_urgencies_are_kept_apart_in_the_gossip(self) -> None:
        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            ledger.begin("model", 0, 600)
            ledger.begin("model", 2, 400)
            own = ledger.list_own()["model"]
            self.assertEqual(600, own[0].unread_tokens)
            self.assertEqual(400, own[2].unread_tokens)

        self.run_clocked(scenario)

    def test_nothing_is_gossiped_that_no_daemon_needs(self) -> None:
        async def scenario() -> None:
            ledger = backlog.BacklogLedger(is_gossiped=False)
            ledger.begin("model", 0, 600)
            self.assertEqual({}, ledger.list_own())

        self.run_clocked(scenario)

    def test_the_rate_of_a_burst_fades(self) -> None:
        """Otherwise less urgent work would be rejected long after it."""

        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            ledger.begin("model", 0, 6000).end()
            before = ledger.find("model", _SPEED)[0].tokens_per_s
            await trio.sleep(6.0)
            after = ledger.find("model", _SPEED)[0].tokens_per_s
            self.assertGreater(before, 2000)
            self.assertLess(after, before / 10)
            await trio.sleep(60.0)
            self.assertEqual({}, ledger.list_own())

        self.run_clocked(scenario)

    def test_a_full_queue_is_not_reduced_between_two_reports(self) -> None:
        """As much arrives as is read, so ageing would hide the queue."""

        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            report = _report(8000, rate=int(_SPEED))
            ledger.replace_source("fleet", report)
            await trio.sleep(0.5)
            found = ledger.find("model", _SPEED)[0]
            self.assertEqual(8000, found.unread_tokens)

        self.run_clocked(scenario)

    def test_a_queue_to_which_little_is_sent_is_reduced(self) -> None:
        """After a burst, requests would be rejected while runners idle."""

        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            ledger.replace_source("fleet", _report(5000, rate=1000))
            await trio.sleep(0.5)
            found = ledger.find("model", _SPEED).get(0, backlog.Backlog())
            self.assertEqual(0, found.unread_tokens)

        self.run_clocked(scenario)

    def test_after_a_cut_only_what_the_daemon_sent_itself_counts(self) -> None:
        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            ledger.replace_source("fleet", _report(20_000, rate=int(_SPEED)))
            ledger.begin("model", 0, 700)
            await trio.sleep(3.0)
            found = ledger.find("model", _SPEED)[0]
            self.assertEqual((1, 700), (found.requests, found.unread_tokens))

        self.run_clocked(scenario)

    def test_an_ended_daemon_and_a_change_of_mode_leave_nothing(self) -> None:
        async def scenario() -> None:
            ledger = backlog.BacklogLedger()
            ledger.replace_source("entry-2.aa", _report(900))
            ledger.replace_source("entry-2.aa", {})
            self.assertEqual({}, ledger.find("model", _SPEED))
            ledger.replace_source("fleet", _report(900))
            ledger.forget_sources()
            self.assertEqual({}, ledger.find("model", _SPEED))

        self.run_clocked(scenario)
