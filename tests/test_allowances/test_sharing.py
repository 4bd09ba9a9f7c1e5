"""Quota is transferred to the daemons with demand."""

from __future__ import annotations

import testtools

from martenquay_daemon.allowances import sharing

_RATE = 100.0


class FindTransfersTest(testtools.TestCase):
    def test_equal_daemons_transfer_nothing(self) -> None:
        balance = sharing.QuotaBalance(50.0, 10.0)
        self.assertEqual(
            {}, sharing.find_transfers(balance, {"b": balance}, _RATE)
        )

    def test_units_go_to_the_daemon_of_higher_demand(self) -> None:
        own = sharing.QuotaBalance(50.0, 0.0)
        others = {
            "busy": sharing.QuotaBalance(10.0, 80.0),
            "idle": sharing.QuotaBalance(50.0, 0.0),
        }
        transfers = sharing.find_transfers(own, others, _RATE)
        self.assertEqual(["busy"], list(transfers))
        self.assertGreater(transfers["busy"], 20.0)
        self.assertLess(transfers["busy"], own.level)

    def test_transfers_of_all_daemons_add_up_to_what_is_missing(self) -> None:
        busy = sharing.QuotaBalance(0.0, 90.0)
        idle = sharing.QuotaBalance(50.0, 0.0)
        transferred = 2 * sum(
            sharing.find_transfers(
                idle, {"busy": busy, "x": idle}, _RATE
            ).values()
        )
        base_demand = 0.3 * _RATE / 3
        expected = 100.0 * (90.0 + base_demand) / (90.0 + 3 * base_demand)
        self.assertAlmostEqual(expected, transferred)

    def test_daemons_share_the_transfer_to_a_waiting_request(self) -> None:
        own = sharing.QuotaBalance(50.0, 10.0)
        others = {
            "waits": sharing.QuotaBalance(50.0, 10.0, needed=30.0),
            "third": sharing.QuotaBalance(100.0, 10.0),
        }
        transfers = sharing.find_transfers(own, others, _RATE)
        self.assertAlmostEqual(10.0, transfers["waits"])

    def test_a_daemon_overdraws_for_a_waiting_request(self) -> None:
        own = sharing.QuotaBalance(0.0, 10.0, overdraft=20.0)
        others = {"waits": sharing.QuotaBalance(0.0, 10.0, needed=8.0)}
        transfers = sharing.find_transfers(own, others, _RATE)
        self.assertAlmostEqual(8.0, transfers["waits"])

    def test_a_daemon_whose_own_requests_wait_transfers_nothing(self) -> None:
        own = sharing.QuotaBalance(10.0, 50.0, needed=20.0)
        others = {"waits": sharing.QuotaBalance(10.0, 50.0, needed=20.0)}
        self.assertEqual({}, sharing.find_transfers(own, others, _RATE))

    def test_very_small_amounts_are_not_transferred(self) -> None:
        own = sharing.QuotaBalance(50.5, 10.0)
        others = {"b": sharing.QuotaBalance(49.5, 10.0)}
        self.assertEqual({}, sharing.find_transfers(own, others, _RATE))
