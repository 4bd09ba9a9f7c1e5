"""Daemons hand units to where they are asked for."""

from __future__ import annotations

import testtools

from martenquay_daemon.allowances import sharing

_RATE = 100.0


class FindGiftsTest(testtools.TestCase):
    def test_equal_daemons_hand_nothing_over(self) -> None:
        one = sharing.QuotaBalance(50.0, 10.0)
        self.assertEqual({}, sharing.find_transfers(one, {"b": one}, _RATE))

    def test_units_go_to_the_daemon_that_is_asked_for_more(self) -> None:
        own = sharing.QuotaBalance(50.0, 0.0)
        others = {
            "busy": sharing.QuotaBalance(10.0, 80.0),
            "idle": sharing.QuotaBalance(50.0, 0.0),
        }
        gifts = sharing.find_transfers(own, others, _RATE)
        self.assertEqual(["busy"], list(gifts))
        self.assertGreater(gifts["busy"], 20.0)
        self.assertLess(gifts["busy"], own.level)

    def test_gifts_of_all_add_up_to_what_is_missing(self) -> None:
        busy = sharing.QuotaBalance(0.0, 90.0)
        idle = sharing.QuotaBalance(50.0, 0.0)
        given = 2 * sum(
            sharing.find_transfers(
                idle, {"busy": busy, "x": idle}, _RATE
            ).values()
        )
        base = 0.3 * _RATE / 3
        wanted = 100.0 * (90.0 + base) / (90.0 + 3 * base)
        self.assertAlmostEqual(wanted, given)

    def test_a_waiting_request_gets_from_each_a_part(self) -> None:
        own = sharing.QuotaBalance(50.0, 10.0)
        others = {
            "waits": sharing.QuotaBalance(50.0, 10.0, needed=30.0),
            "third": sharing.QuotaBalance(100.0, 10.0),
        }
        gifts = sharing.find_transfers(own, others, _RATE)
        self.assertAlmostEqual(10.0, gifts["waits"])

    def test_for_a_waiting_request_a_daemon_goes_into_debt(self) -> None:
        own = sharing.QuotaBalance(0.0, 10.0, overdraft=20.0)
        others = {"waits": sharing.QuotaBalance(0.0, 10.0, needed=8.0)}
        gifts = sharing.find_transfers(own, others, _RATE)
        self.assertAlmostEqual(8.0, gifts["waits"])

    def test_a_daemon_whose_own_requests_wait_keeps_what_it_has(self) -> None:
        own = sharing.QuotaBalance(10.0, 50.0, needed=20.0)
        others = {"waits": sharing.QuotaBalance(10.0, 50.0, needed=20.0)}
        self.assertEqual({}, sharing.find_transfers(own, others, _RATE))

    def test_a_trifle_is_not_handed_over(self) -> None:
        own = sharing.QuotaBalance(50.5, 10.0)
        others = {"b": sharing.QuotaBalance(49.5, 10.0)}
        self.assertEqual({}, sharing.find_transfers(own, others, _RATE))
