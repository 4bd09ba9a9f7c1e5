"""What waiting requests lack follows the level.

Guards against a figure that is noted when a request begins to wait: others
spend units meanwhile, and the request timed out for a few hundred units.
"""

from __future__ import annotations

import testtools

from martenquay_daemon.allowances import terms, waiting


class WaitingRequestsTest(testtools.TestCase):
    def test_the_shortage_grows_as_others_spend(self) -> None:
        waiters = waiting.WaitingRequests()
        waiters.add(terms.AdmissionRequest(500.0))
        self.assertEqual(100.0, waiters.find_shortage(300.0, 100.0, 0.0))
        self.assertEqual(250.0, waiters.find_shortage(150.0, 100.0, 0.0))

    def test_nothing_is_short_once_the_level_suffices(self) -> None:
        waiters = waiting.WaitingRequests()
        request = terms.AdmissionRequest(500.0)
        waiters.add(request)
        self.assertEqual(0.0, waiters.find_shortage(400.0, 100.0, 90.0))
        waiters.remove(request)
        self.assertEqual(0.0, waiters.find_shortage(-50.0, 100.0, 90.0))

    def test_what_others_spend_until_the_transfer_is_asked_for_as_well(
        self,
    ) -> None:
        waiters = waiting.WaitingRequests()
        waiters.add(terms.AdmissionRequest(500.0))
        self.assertGreater(waiters.find_shortage(0.0, 0.0, 1_000.0), 600.0)

    def test_a_less_urgent_request_leaves_part_of_the_overdraft(self) -> None:
        waiters = waiting.WaitingRequests()
        waiters.add(terms.AdmissionRequest(500.0, reserve=2))
        self.assertAlmostEqual(120.0, waiters.find_shortage(300.0, 100.0, 0.0))

    def test_a_less_urgent_request_lacks_units_until_the_level_is_positive(
        self,
    ) -> None:
        waiters = waiting.WaitingRequests()
        waiters.add(terms.AdmissionRequest(10.0, reserve=1))
        self.assertEqual(41.0, waiters.find_shortage(-40.0, 100.0, 0.0))
