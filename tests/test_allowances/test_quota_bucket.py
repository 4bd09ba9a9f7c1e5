"""Units expire on time, also after a withdrawal or a new lifetime."""

from __future__ import annotations

import testtools

from martenquay_daemon.allowances import quota_bucket

_LIFE_S = 1.6


class QuotaBucketTest(testtools.TestCase):
    def test_units_expire_a_lifetime_after_they_were_refilled(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(10.1, 10.0, 10.1, 100.0)
        self.assertAlmostEqual(10.0, bucket.total)
        bucket.expire(11.4)
        self.assertAlmostEqual(10.0, bucket.total)
        bucket.expire(11.7)
        self.assertAlmostEqual(0.0, bucket.total)

    def test_a_long_pause_refills_no_more_than_one_lifetime(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(50.0, 0.0, 50.0, 100.0)
        self.assertLessEqual(bucket.total, 100.0 * _LIFE_S + 0.001)
        self.assertGreater(bucket.total, 80.0 * _LIFE_S)

    def test_refills_pay_the_debt_first(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.spend(30.0)
        self.assertEqual(-30.0, bucket.level)
        bucket.add_refill(0.5, 0.0, 0.5, 100.0)
        self.assertAlmostEqual(20.0, bucket.level)
        self.assertEqual(0.0, bucket.debt)

    def test_units_that_expire_first_are_spent_first(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(1.0, 0.0, 1.0, 100.0)
        bucket.spend(50.0)
        bucket.expire(2.0)
        self.assertAlmostEqual(50.0, bucket.total, delta=11.0)

    def test_withdrawn_units_are_gone_and_keep_their_expiry(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(1.0, 0.0, 1.0, 100.0)
        lots = bucket.withdraw(1.0, 60.0)
        self.assertAlmostEqual(60.0, sum(lot.units for lot in lots))
        self.assertAlmostEqual(40.0, bucket.total)
        self.assertLessEqual(max(lot.expires_at for lot in lots), 2.6)

    def test_units_withdrawn_beyond_the_total_become_debt(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(0.1, 0.0, 0.1, 100.0)
        lots = bucket.withdraw(0.1, 25.0)
        self.assertAlmostEqual(25.0, sum(lot.units for lot in lots))
        self.assertAlmostEqual(-15.0, bucket.level)

    def test_a_new_lifetime_never_extends_units(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        bucket.add_refill(1.0, 0.0, 1.0, 100.0)
        longer = bucket.copy_with_life(1.0, 3.0)
        self.assertAlmostEqual(100.0, longer.total)
        longer.expire(1.0 + _LIFE_S)
        self.assertAlmostEqual(0.0, longer.total)
        shorter = bucket.copy_with_life(1.0, 0.5)
        shorter.expire(1.6)
        self.assertAlmostEqual(0.0, shorter.total)

    def test_expired_units_are_not_added(self) -> None:
        bucket = quota_bucket.QuotaBucket(_LIFE_S)
        self.assertEqual(0.0, bucket.add(5.0, quota_bucket.QuotaLot(9.0, 4.9)))
        self.assertEqual(0.0, bucket.total)
        self.assertEqual(9.0, bucket.add(5.0, quota_bucket.QuotaLot(9.0, 5.9)))
