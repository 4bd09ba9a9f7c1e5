"""The shares of all daemons add up to the runner's rate limit."""

from __future__ import annotations

import itertools

import testtools

from martenquay_daemon.backpressure import send_shares


class SendSharesTest(testtools.TestCase):
    def test_the_holders_shares_add_up_to_the_limit(self) -> None:
        for daemons in (1, 2, 6, 25, 70, 195, 400):
            for limit in (0.1, 0.5, 1.0, 5.0, 50.0, 1000.0):
                shares = [
                    send_shares.find_share(
                        limit, send_shares.SenderRank(rank, daemons)
                    )
                    for rank in range(daemons)
                ]
                rate = sum(1 / one.interval_s for one in _list_holders(shares))
                self.assertAlmostEqual(1.0, rate / limit)

    def test_first_requests_are_evenly_spaced(self) -> None:
        shares = [
            send_shares.find_share(5.0, send_shares.SenderRank(rank, 70))
            for rank in range(70)
        ]
        firsts = [one.first_s for one in _list_holders(shares)]
        for first_s, next_s in itertools.pairwise(firsts):
            self.assertAlmostEqual(0.2, next_s - first_s)

    def test_probe_slots_do_not_overlap(self) -> None:
        for limit in (0.1, 1.0, 50.0):
            shares = [
                send_shares.find_share(limit, send_shares.SenderRank(rank, 70))
                for rank in range(70)
            ]
            slots = [s for s in shares if isinstance(s, send_shares.ProbeSlot)]
            for one, following in itertools.pairwise(slots):
                end_s = one.first_s + one.length_s
                self.assertAlmostEqual(end_s, following.first_s)
            length_s = sum(one.length_s for one in slots)
            self.assertAlmostEqual(length_s, slots[0].period_s)
            self.assertGreaterEqual(slots[0].first_s, 5.0)

    def test_a_small_limit_has_two_holders(self) -> None:
        share = send_shares.find_share(0.1, send_shares.SenderRank(1, 6))
        self.assertIsInstance(share, send_shares.HolderSchedule)


def _list_holders(
    shares: list[send_shares.Share],
) -> list[send_shares.HolderSchedule]:
    return [s for s in shares if isinstance(s, send_shares.HolderSchedule)]
