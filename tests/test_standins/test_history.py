"""The history checker lets a good history pass and rejects each bad one."""

from __future__ import annotations

import dataclasses

import testtools

from martenquay_standins.chaos import history


def _build_good() -> history.History:
    """Return a history that keeps every promise."""
    good = history.History()
    good.bookings = [
        history.BookingReply("slot-1", 4001, b""),
        history.BookingReply("slot-2", 1000, b"run 2"),
        history.BookingReply("slot-2", 1000, b"run 2"),
        history.BookingReply("slot-3", 3003, b""),
        history.BookingReply("slot-4", 0, b""),
    ]
    good.runs.update({"slot-1": 1, "slot-2": 1, "slot-4": 1})
    good.chats = [
        history.ChatReply("a b ", "a b ", True, False),
        history.ChatReply("a b ", "a ", False, True),
    ]
    good.accepted = {"t-1"}
    good.tickets = [
        history.TicketReply("t-1", "a ", "a ", b"{a}"),
        history.TicketReply("t-1", "a ", "a ", b"{a}"),
    ]
    good.changes = [
        history.ChangeReply("serrana", 5, 2.0),
        history.ChangeReply("serrana", 0, 3.0),
        history.ChangeReply("serrana", 7, 4.0),
    ]
    good.observations = [
        history.Observation("d-1", "serrana", 5, 2.0, False),
        history.Observation("d-1", "serrana", 7, 4.0, True),
        history.Observation("d-2", "serrana", 7, 4.0, True),
    ]
    return good


class HistoryTest(testtools.TestCase):
    def _reject(self, bad: history.History, sentence: str) -> None:
        breaches = history.find_breaches(bad)
        self.assertTrue(
            any(sentence in breach for breach in breaches), breaches
        )

    def test_a_good_history_passes(self):
        self.assertEqual([], history.find_breaches(_build_good()))

    def test_a_booking_that_ran_twice_is_rejected(self):
        bad = _build_good()
        bad.runs["slot-1"] = 2
        self._reject(bad, "slot-1 ran 2 times")

    def test_a_false_not_run_is_rejected(self):
        bad = _build_good()
        bad.runs["slot-3"] = 1
        self._reject(bad, "slot-3 was told 'not run' and ran")

    def test_an_answer_without_a_run_is_rejected(self):
        bad = _build_good()
        del bad.runs["slot-2"]
        self._reject(bad, "slot-2 was answered and never ran")

    def test_two_answers_to_one_booking_are_rejected(self):
        bad = _build_good()
        bad.bookings.append(history.BookingReply("slot-2", 1000, b"run 9"))
        self._reject(bad, "slot-2 was answered in 2 ways")

    def test_a_chat_with_foreign_or_missing_tokens_is_rejected(self):
        bad = _build_good()
        bad.chats.append(history.ChatReply("a b ", "a x ", True, False))
        self._reject(bad, "a whole chat was 'a x '")
        bad.chats = [history.ChatReply("a b ", "a ", True, False)]
        self._reject(bad, "a whole chat was 'a '")

    def test_a_chat_cut_off_without_a_word_is_rejected(self):
        bad = _build_good()
        bad.chats.append(history.ChatReply("a b ", "a ", False, False))
        self._reject(bad, "cut off without a word")

    def test_a_ticket_without_its_answer_is_rejected(self):
        bad = _build_good()
        bad.tickets = [history.TicketReply("t-1", "a ", None, b"")]
        self._reject(bad, "t-1 was never answered")

    def test_a_ticket_with_two_answers_is_rejected(self):
        bad = _build_good()
        bad.tickets.append(history.TicketReply("t-1", "a ", "a ", b"{b}"))
        self._reject(bad, "t-1 has 2 answers")

    def test_a_daemon_that_goes_back_is_rejected(self):
        bad = _build_good()
        late = history.Observation("d-1", "serrana", 5, 2.0, False)
        bad.observations.append(late)
        self._reject(bad, "d-1 went back from version 7 to 5")

    def test_an_accepted_change_that_is_not_in_force_is_rejected(self):
        bad = _build_good()
        bad.changes.append(history.ChangeReply("serrana", 9, 5.0))
        self._reject(bad, "ended at 7, though 9 was accepted")

    def test_daemons_that_end_apart_are_rejected(self):
        bad = _build_good()
        bad.observations[-1] = dataclasses.replace(
            bad.observations[-1], weight=8.0
        )
        self._reject(bad, "serrana ended in 2 ways")
