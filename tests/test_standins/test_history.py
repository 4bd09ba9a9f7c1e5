"""The history checker accepts a valid history and finds each violation."""

from __future__ import annotations

import dataclasses

import testtools

from martenquay_standins.chaos import history


def _build_valid_history() -> history.History:
    """Return a history that violates no guarantee."""
    valid = history.History()
    valid.bookings = [
        history.BookingReply("slot-1", 4001, b""),
        history.BookingReply("slot-2", 1000, b"run 2"),
        history.BookingReply("slot-2", 1000, b"run 2"),
        history.BookingReply("slot-3", 3003, b""),
        history.BookingReply("slot-4", 0, b""),
    ]
    valid.runs.update({"slot-1": 1, "slot-2": 1, "slot-4": 1})
    valid.chats = [
        history.ChatReply("a b ", "a b ", True, False),
        history.ChatReply("a b ", "a ", False, True),
    ]
    valid.accepted = {"t-1"}
    valid.tickets = [
        history.TicketReply("t-1", "a ", "a ", b"{a}"),
        history.TicketReply("t-1", "a ", "a ", b"{a}"),
    ]
    valid.changes = [
        history.ChangeReply("serrana", 5, 2.0),
        history.ChangeReply("serrana", 0, 3.0),
        history.ChangeReply("serrana", 7, 4.0),
    ]
    valid.observations = [
        history.Observation("d-1", "serrana", 5, 2.0, False),
        history.Observation("d-1", "serrana", 7, 4.0, True),
        history.Observation("d-2", "serrana", 7, 4.0, True),
    ]
    return valid


class HistoryTest(testtools.TestCase):
    def _assert_rejected(self, invalid: history.History, sentence: str) -> None:
        breaches = history.find_breaches(invalid)
        self.assertTrue(
            any(sentence in breach for breach in breaches), breaches
        )

    def test_a_valid_history_passes(self):
        self.assertEqual([], history.find_breaches(_build_valid_history()))

    def test_a_booking_that_ran_twice_is_rejected(self):
        invalid = _build_valid_history()
        invalid.runs["slot-1"] = 2
        self._assert_rejected(invalid, "slot-1 ran 2 times")

    def test_a_false_not_run_is_rejected(self):
        invalid = _build_valid_history()
        invalid.runs["slot-3"] = 1
        self._assert_rejected(invalid, "slot-3 was told 'not run' and ran")

    def test_an_answer_without_a_run_is_rejected(self):
        invalid = _build_valid_history()
        del invalid.runs["slot-2"]
        self._assert_rejected(invalid, "slot-2 was answered and never ran")

    def test_two_answers_to_one_booking_are_rejected(self):
        invalid = _build_valid_history()
        invalid.bookings.append(history.BookingReply("slot-2", 1000, b"run 9"))
        self._assert_rejected(invalid, "slot-2 was answered in 2 ways")

    def test_a_chat_with_foreign_or_missing_tokens_is_rejected(self):
        invalid = _build_valid_history()
        invalid.chats.append(history.ChatReply("a b ", "a x ", True, False))
        self._assert_rejected(invalid, "a whole chat was 'a x '")
        invalid.chats = [history.ChatReply("a b ", "a ", True, False)]
        self._assert_rejected(invalid, "a whole chat was 'a '")

    def test_a_chat_cut_off_without_an_error_is_rejected(self):
        invalid = _build_valid_history()
        invalid.chats.append(history.ChatReply("a b ", "a ", False, False))
        self._assert_rejected(invalid, "cut off without a word")

    def test_a_ticket_without_its_answer_is_rejected(self):
        invalid = _build_valid_history()
        invalid.tickets = [history.TicketReply("t-1", "a ", None, b"")]
        self._assert_rejected(invalid, "t-1 was never answered")

    def test_a_ticket_with_two_answers_is_rejected(self):
        invalid = _build_valid_history()
        invalid.tickets.append(history.TicketReply("t-1", "a ", "a ", b"{b}"))
        self._assert_rejected(invalid, "t-1 has 2 answers")

    def test_a_daemon_that_rolls_back_is_rejected(self):
        invalid = _build_valid_history()
        late = history.Observation("d-1", "serrana", 5, 2.0, False)
        invalid.observations.append(late)
        self._assert_rejected(invalid, "d-1 went back from version 7 to 5")

    def test_an_accepted_change_that_is_not_in_force_is_rejected(self):
        invalid = _build_valid_history()
        invalid.changes.append(history.ChangeReply("serrana", 9, 5.0))
        self._assert_rejected(invalid, "ended at 7, though 9 was accepted")

    def test_daemons_that_end_in_different_states_are_rejected(self):
        invalid = _build_valid_history()
        invalid.observations[-1] = dataclasses.replace(
            invalid.observations[-1], weight=8.0
        )
        self._assert_rejected(invalid, "serrana ended in 2 ways")
