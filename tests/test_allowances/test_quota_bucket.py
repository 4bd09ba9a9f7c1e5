"""Units end when their time is over, wherever they are."""

from __future__ import annotations

import testtools

from martenquay_daemon.allowances import quota_bucket

_LIFE_S = 1.6


class TokenPileTest(testtools.TestCase):
    def test_units_end_a_lifetime_after_they_were_minted(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(10.1, 10.0, 10.1, 100.0)
        self.assertAlmostEqual(10.0, bucket.total)
        bucket.expire(11.4)
        self.assertAlmostEqual(10.0, bucket.total)
        bucket.expire(11.7)
        self.assertAlmostEqual(0.0, bucket.total)

    def test_a_long_pause_mints_no_more_than_a_lifetime_gives(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(50.0, 0.0, 50.0, 100.0)
        self.assertLessEqual(bucket.total, 100.0 * _LIFE_S + 0.001)
        self.assertGreater(bucket.total, 80.0 * _LIFE_S)

    def test_what_is_owed_is_paid_by_what_comes(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.spend(30.0)
        self.assertEqual(-30.0, bucket.level)
        bucket.add_refill(0.5, 0.0, 0.5, 100.0)
        self.assertAlmostEqual(20.0, bucket.level)
        self.assertEqual(0.0, bucket.debt)

    def test_units_that_end_first_are_spent_first(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(1.0, 0.0, 1.0, 100.0)
        bucket.spend(50.0)
        bucket.expire(2.0)
        self.assertAlmostEqual(50.0, bucket.total, delta=11.0)

    def test_units_taken_away_are_gone_and_keep_their_end(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(1.0, 0.0, 1.0, 100.0)
        parcels = bucket.withdraw(1.0, 60.0)
        self.assertAlmostEqual(60.0, sum(one.units for one in parcels))
        self.assertAlmostEqual(40.0, bucket.total)
        self.assertLessEqual(max(one.expires_at for one in parcels), 2.6)

    def test_units_given_beyond_what_is_there_are_owed(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(0.1, 0.0, 0.1, 100.0)
        parcels = bucket.withdraw(0.1, 25.0)
        self.assertAlmostEqual(25.0, sum(one.units for one in parcels))
        self.assertAlmostEqual(-15.0, bucket.level)

    def test_units_keep_their_end_or_a_shorter_life(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(1.0, 0.0, 1.0, 100.0)
        longer = bucket.copy_with_life(1.0, 3.0)
        self.assertAlmostEqual(100.0, longer.total)
        longer.expire(1.0 + _LIFE_S)
        self.assertAlmostEqual(0.0, longer.total)
        shorter = bucket.copy_with_life(1.0, 0.5)
        shorter.expire(1.6)
        self.assertAlmostEqual(0.0, shorter.total)

    def test_units_that_have_ended_are_of_no_use(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        self.assertEqual(0.0, bucket.add(5.0, quota_bucket.QuotaLot(9.0, 4.9)))
        self.assertEqual(0.0, bucket.total)
        self.assertEqual(9.0, bucket.add(5.0, quota_bucket.QuotaLot(9.0, 5.9)))
