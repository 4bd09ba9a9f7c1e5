"""Loads of runners are tracked by runner process."""

from __future__ import annotations

import trio

from martenquay_daemon.engines import loads
from tests import clocked


class LoadLedgerTest(clocked.ClockedTestCase):
    def test_requests_to_a_former_process_are_no_load_of_the_new_one(
        self,
    ) -> None:
        async def scenario() -> None:
            ledger = loads.LoadLedger()
            ledger.replace_source("entry-2", {"r-1": loads.RunnerLoad(5, 900)})
            with ledger.count("r-1", 700):
                ledger.forget_runner("r-1")
                self.assertEqual(loads.RunnerLoad(0, 0), ledger.find("r-1"))
                with ledger.count("r-1", 40):
                    found = ledger.find("r-1")
                    self.assertEqual(loads.RunnerLoad(1, 40), found)
                self.assertEqual({}, ledger.list_own())
            self.assertEqual(loads.RunnerLoad(0, 0), ledger.find("r-1"))

        self.run_clocked(scenario)

    def test_a_request_to_the_new_process_stays_when_a_former_one_ends(
        self,
    ) -> None:
        async def scenario() -> None:
            ledger = loads.LoadLedger()
            former = ledger.count("r-1", 700)
            former.__enter__()
            ledger.forget_runner("r-1")
            with ledger.count("r-1", 40):
                former.__exit__(None, None, None)
                found = ledger.find("r-1")
                self.assertEqual(loads.RunnerLoad(1, 40), found)

        self.run_clocked(scenario)

    def test_requests_of_all_daemons_are_summed(self) -> None:
        async def scenario() -> None:
            ledger = loads.LoadLedger()
            ledger.replace_source("entry-2", {"r-1": loads.RunnerLoad(5, 900)})
            ledger.replace_source("entry-3", {"r-2": loads.RunnerLoad(2, 0)})
            with ledger.count("r-1", 700):
                found = ledger.sum_requests()
            self.assertEqual({"r-1": 6, "r-2": 2}, found)

        self.run_clocked(scenario)

    def test_unread_tokens_end_with_the_first_event(self) -> None:
        async def scenario() -> None:
            ledger = loads.LoadLedger()
            with ledger.count("r-1", 500) as running:
                self.assertEqual(500, ledger.find("r-1").unread_tokens)
                running.note_first_event()
                self.assertEqual(0, ledger.find("r-1").unread_tokens)
                self.assertEqual(1, ledger.find("r-1").requests)
            self.assertEqual(0, ledger.find("r-1").requests)
            self.assertEqual({}, ledger.list_own())

        self.run_clocked(scenario)

    def test_gossiped_unread_tokens_decrease_with_time(self) -> None:
        async def scenario() -> None:
            ledger = loads.LoadLedger()
            ledger.replace_source("fleet", {"r-1": loads.RunnerLoad(5, 9000)})
            await trio.sleep(0.15)
            self.assertEqual(9000, ledger.find("r-1").unread_tokens)
            found = ledger.find("r-1", 20_000.0)
            self.assertEqual(loads.RunnerLoad(5, 1000), found)
            await trio.sleep(0.3)
            with ledger.count("r-1", 700):
                found = ledger.find("r-1", 20_000.0)
                self.assertEqual(loads.RunnerLoad(6, 700), found)

        self.run_clocked(scenario)
