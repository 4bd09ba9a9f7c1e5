"""Loads at runners are counted by the process that has them."""

from __future__ import annotations

import testtools

from martenquay_daemon.engines import loads


class LoadLedgerTest(testtools.TestCase):
    def test_requests_to_an_earlier_process_are_no_load_of_a_new_one(
        self,
    ) -> None:
        ledger = loads.LoadLedger()
        ledger.replace_source("entry-2", {"r-1": loads.RunnerLoad(5, 900)})
        with ledger.count("r-1", 700):
            ledger.forget_runner("r-1")
            self.assertEqual(loads.RunnerLoad(0, 0), ledger.find("r-1"))
            with ledger.count("r-1", 40):
                self.assertEqual(loads.RunnerLoad(1, 40), ledger.find("r-1"))
            self.assertEqual({}, ledger.list_own())
        self.assertEqual(loads.RunnerLoad(0, 0), ledger.find("r-1"))

    def test_a_request_to_the_new_process_outlives_the_earlier_ones(
        self,
    ) -> None:
        ledger = loads.LoadLedger()
        earlier = ledger.count("r-1", 700)
        earlier.__enter__()
        ledger.forget_runner("r-1")
        with ledger.count("r-1", 40):
            earlier.__exit__(None, None, None)
            self.assertEqual(loads.RunnerLoad(1, 40), ledger.find("r-1"))
