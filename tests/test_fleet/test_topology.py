"""Hubs are the same for all, and one that does not report is passed over."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import topology

_PEERS = [
    topology.PeerAddress(f"10.0.0.{number}:7600", "a", 100.0 - number)
    for number in range(1, 8)
]


class HubBoardTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.board = topology.HubElection("10.0.0.7:7600")

    def test_the_best_links_are_chosen_in_whatever_order_they_are_known(
        self,
    ) -> None:
        chosen = self.board.elect_hubs(_PEERS, 0.0)
        self.assertEqual(["10.0.0.1:7600", "10.0.0.2:7600"], chosen)
        self.assertEqual(chosen, self.board.elect_hubs(reversed(_PEERS), 0.0))

    def test_one_that_does_not_report_is_passed_over_for_a_while(self) -> None:
        self.board.note_message_sent("10.0.0.1:7600", 0.0)
        self.board.note_message_sent("10.0.0.2:7600", 0.0)
        self.board.note_report("10.0.0.2:7600", 1.5)
        self.assertIn("10.0.0.1:7600", self.board.elect_hubs(_PEERS, 1.0))
        chosen = self.board.elect_hubs(_PEERS, 2.5)
        self.assertEqual(["10.0.0.2:7600", "10.0.0.3:7600"], chosen)

    def test_one_that_was_passed_over_is_tried_beside_the_others(self) -> None:
        self.board.note_message_sent("10.0.0.1:7600", 0.0)
        self.board.elect_hubs(_PEERS, 2.5)
        self.assertEqual(
            ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600"],
            self.board.elect_hubs(_PEERS, 20.0),
        )
        self.board.note_message_sent("10.0.0.1:7600", 20.0)
        self.assertNotIn("10.0.0.1:7600", self.board.elect_hubs(_PEERS, 22.5))

    def test_one_that_is_heard_again_is_a_hub_again(self) -> None:
        self.board.note_message_sent("10.0.0.1:7600", 0.0)
        self.assertNotIn("10.0.0.1:7600", self.board.elect_hubs(_PEERS, 2.5))
        self.board.note_report("10.0.0.1:7600", 3.0)
        self.assertIn("10.0.0.1:7600", self.board.elect_hubs(_PEERS, 3.0))

    def test_the_first_that_answers_leads(self) -> None:
        board = topology.HubElection("10.0.0.2:7600")
        self.assertFalse(board.is_first_hub(board.elect_hubs(_PEERS, 0.0)))
        board.note_message_sent("10.0.0.1:7600", 0.0)
        self.assertTrue(board.is_first_hub(board.elect_hubs(_PEERS, 2.5)))

    def test_a_daemon_does_not_pass_itself_over(self) -> None:
        board = topology.HubElection("10.0.0.1:7600")
        board.note_message_sent("10.0.0.1:7600", 0.0)
        self.assertIn("10.0.0.1:7600", board.elect_hubs(_PEERS, 60.0))
