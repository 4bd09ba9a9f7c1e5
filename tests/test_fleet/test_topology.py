"""All daemons must elect the same hubs, and none that does not report."""

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
        self.election = topology.HubElection("10.0.0.7:7600")

    def test_the_most_bandwidth_is_elected_in_any_order_of_the_peers(
        self,
    ) -> None:
        chosen = self.election.elect_hubs(_PEERS, 0.0)
        self.assertEqual(["10.0.0.1:7600", "10.0.0.2:7600"], chosen)
        self.assertEqual(
            chosen, self.election.elect_hubs(reversed(_PEERS), 0.0)
        )

    def test_a_hub_that_does_not_report_is_not_elected_for_a_while(
        self,
    ) -> None:
        self.election.note_message_sent("10.0.0.1:7600", 0.0)
        self.election.note_message_sent("10.0.0.2:7600", 0.0)
        self.election.note_report("10.0.0.2:7600", 1.5)
        self.assertIn("10.0.0.1:7600", self.election.elect_hubs(_PEERS, 1.0))
        chosen = self.election.elect_hubs(_PEERS, 2.5)
        self.assertEqual(["10.0.0.2:7600", "10.0.0.3:7600"], chosen)

    def test_a_hub_that_did_not_report_is_tried_again_beside_the_others(
        self,
    ) -> None:
        self.election.note_message_sent("10.0.0.1:7600", 0.0)
        self.election.elect_hubs(_PEERS, 2.5)
        self.assertEqual(
            ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600"],
            self.election.elect_hubs(_PEERS, 20.0),
        )
        self.election.note_message_sent("10.0.0.1:7600", 20.0)
        self.assertNotIn(
            "10.0.0.1:7600", self.election.elect_hubs(_PEERS, 22.5)
        )

    def test_a_hub_that_reports_again_is_elected_again(self) -> None:
        self.election.note_message_sent("10.0.0.1:7600", 0.0)
        self.assertNotIn("10.0.0.1:7600", self.election.elect_hubs(_PEERS, 2.5))
        self.election.note_report("10.0.0.1:7600", 3.0)
        self.assertIn("10.0.0.1:7600", self.election.elect_hubs(_PEERS, 3.0))

    def test_the_first_hub_that_reports_is_the_first_hub(self) -> None:
        election = topology.HubElection("10.0.0.2:7600")
        self.assertFalse(
            election.is_first_hub(election.elect_hubs(_PEERS, 0.0))
        )
        election.note_message_sent("10.0.0.1:7600", 0.0)
        self.assertTrue(election.is_first_hub(election.elect_hubs(_PEERS, 2.5)))

    def test_a_daemon_always_elects_itself(self) -> None:
        election = topology.HubElection("10.0.0.1:7600")
        election.note_message_sent("10.0.0.1:7600", 0.0)
        self.assertIn("10.0.0.1:7600", election.elect_hubs(_PEERS, 60.0))
