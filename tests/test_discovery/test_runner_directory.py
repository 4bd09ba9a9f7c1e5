"""The directory lists the runners that may get requests, also in outages."""

from __future__ import annotations

import math

import trio

from martenquay_core.serving import ports
from martenquay_daemon.discovery import (
    contact,
    runner_directory,
    runner_entries,
)
from tests import clocked
from tests import serving_builders as builders


class RunnerDirectoryTest(clocked.ClockedTestCase):
    def _build(self) -> None:
        self.records = builders.FakeRecords()
        self.contact = contact.LogContact()
        self.directory = runner_directory.RunnerDirectory(
            self.records, self.contact
        )
        self.offset = 0

    def _build_empty_directory(self) -> None:
        """Replace the directory by an empty one."""
        self.directory = runner_directory.RunnerDirectory(
            self.records, self.contact
        )

    def _put(self, **changes) -> None:
        runner = builders.build_runner(**changes)
        value = repr(runner).encode()
        self.records.runners[value] = runner
        self.offset += 1
        self.directory.apply_change(
            ports.KeyedRecord(self.offset, runner.id, value)
        )

    def _drop(self, key: str) -> None:
        self.offset += 1
        self.directory.apply_change(ports.KeyedRecord(self.offset, key, None))

    def _list_usable(self) -> list[str]:
        return sorted(r.id for r in self.directory.list_usable("desk"))

    def test_a_leaving_runner_gets_no_more_work(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            self._put(id="r-2", address="127.0.0.1:2")
            self._put(id="r-1", is_leaving=True, leaves_in_s=2.0)
            self.assertEqual(["r-2"], self._list_usable())
            self.assertAlmostEqual(2.0, self.directory.find_time_left("r-1"))

        self.run_clocked(scenario)

    def test_heartbeats_are_no_change(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            changed_end = self.directory.entries.changed_end
            self._put(id="r-1")
            self.assertEqual(changed_end, self.directory.entries.changed_end)
            self._put(id="r-1", is_leaving=True)
            self.assertEqual(
                self.offset + 1, self.directory.entries.changed_end
            )
            self._drop("r-1")
            self.assertEqual(
                self.offset + 1, self.directory.entries.changed_end
            )

        self.run_clocked(scenario)

    def test_heartbeats_are_not_copied_to_peers(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            self._put(id="r-1", is_leaving=True, leaves_in_s=2.0)
            first = self.directory.entries.list_copies()
            self._put(id="r-1", is_leaving=True, leaves_in_s=1.0)
            self.assertEqual(first, self.directory.entries.list_copies())
            self.assertAlmostEqual(2.0, self.directory.find_time_left("r-1"))

        self.run_clocked(scenario)

    def test_listed_entries_without_a_copy_stay_and_others_are_removed(
        self,
    ) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            self._put(id="r-2", address="127.0.0.1:2")
            self.directory.apply_copies([], {"r-2"})
            self.assertEqual(["r-2"], self._list_usable())

        self.run_clocked(scenario)

    def test_without_an_outage_a_removed_entry_removes_its_runner(self) -> None:
        async def scenario() -> None:
            self._build()
            self.contact.note_answer()
            self._put(id="r-1")
            self._drop("r-1")
            self.assertEqual([], self._list_usable())

        self.run_clocked(scenario)

    def test_one_lost_call_is_no_outage(self) -> None:
        async def scenario() -> None:
            self._build()
            self.contact.note_answer()
            self._put(id="r-1")
            await trio.sleep(0.3)
            self.contact.note_failure("one long poll was lost")
            self.contact.note_answer()
            self._drop("r-1")
            self.assertEqual([], self._list_usable())

        self.run_clocked(scenario)

    def test_entries_that_lapsed_in_an_outage_get_a_grace_time(
        self,
    ) -> None:
        async def scenario() -> None:
            self._build()
            self.contact.note_answer()
            self._put(id="r-1")
            self._put(id="r-2", address="127.0.0.1:2")
            self.contact.note_failure("down")
            await trio.sleep(5.0)
            self.contact.note_answer()
            self._drop("r-1")
            self._drop("r-2")
            self.assertEqual(["r-1", "r-2"], self._list_usable())
            self._put(id="r-1")
            await trio.sleep(3.0)
            self.assertEqual(["r-1"], self._list_usable())

        self.run_clocked(scenario)

    def test_a_runner_at_the_address_of_another_replaces_it(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            self._put(id="r-9", service="other")
            self.assertEqual([], self._list_usable())

        self.run_clocked(scenario)

    def test_a_runner_whose_address_was_taken_is_left_out_for_a_while(
        self,
    ) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            self.directory.note_address_taken("r-1")
            self.assertEqual([], self._list_usable())
            await trio.sleep(60.0)
            self.assertEqual(["r-1"], self._list_usable())

        self.run_clocked(scenario)

    # Requests to a runner by its former entry could go to a wrong service or
    # address.
    def test_a_runner_with_an_undecodable_entry_gets_no_requests(self) -> None:
        async def scenario() -> None:
            self._build()
            unusable_ids: list[str] = []
            self.directory.on_unusable = unusable_ids.append
            self._put(id="r-1")
            self._put(id="r-2", address="127.0.0.1:2")
            self.directory.apply_change(ports.KeyedRecord(9, "r-1", b"broken"))
            self.directory.apply_change(ports.KeyedRecord(10, "r-1", b"broken"))
            self.assertEqual(["r-2"], self._list_usable())
            self.assertEqual(["r-1", "r-1"], unusable_ids)
            self.offset = 10
            self._put(id="r-1")
            self.assertEqual(["r-1", "r-2"], self._list_usable())

        self.run_clocked(scenario)

    def test_an_undecodable_entry_in_a_copy_leaves_the_others_usable(
        self,
    ) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            good = self.directory.entries.list_copies()
            bad = runner_entries.RunnerCopy("r-2", 5, b"broken")
            self._build_empty_directory()
            self.directory.apply_copies([bad, *good], {"r-1", "r-2"})
            self.assertEqual(["r-1"], self._list_usable())
            self.assertEqual({"r-1", "r-2"}, self.directory.entries.list_ids())

        self.run_clocked(scenario)

    def test_an_entry_of_an_earlier_process_changes_nothing(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1", born_ms=2000)
            self._put(id="r-1", born_ms=1000, is_leaving=True)
            self.assertEqual(["r-1"], self._list_usable())

        self.run_clocked(scenario)

    def test_a_restart_under_the_same_id_is_reported(self) -> None:
        async def scenario() -> None:
            self._build()
            restarted: list[str] = []
            self.directory.on_restart = restarted.append
            self._put(id="r-1", born_ms=1000, is_leaving=True, leaves_in_s=2.0)
            self.directory.note_address_taken("r-1")
            self._put(id="r-1", born_ms=2000)
            self.assertEqual(["r-1"], restarted)
            self.assertEqual(["r-1"], self._list_usable())
            self.assertEqual(math.inf, self.directory.find_time_left("r-1"))

        self.run_clocked(scenario)

    def test_of_two_entries_with_one_address_the_later_process_counts(
        self,
    ) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-9", born_ms=2000)
            self._put(id="r-1", born_ms=1000)
            self.assertEqual(["r-9"], self._list_usable())
            self._put(id="r-1", born_ms=3000)
            self.assertEqual(["r-1"], self._list_usable())

        self.run_clocked(scenario)

    # Only another writer's entry lacks the start time of its process.
    def test_an_entry_without_start_time_replaces_no_runner_that_has_one(
        self,
    ) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1", born_ms=1000)
            self._put(id="r-9", service="other")
            self.assertEqual(["r-1"], self._list_usable())
            self._put(id="r-2", address="127.0.0.1:2", service="other")
            self._put(id="r-3", address="127.0.0.1:2", born_ms=1000)
            self.assertEqual(["r-1", "r-3"], self._list_usable())

        self.run_clocked(scenario)

    def test_heartbeats_of_a_replaced_runner_do_not_bring_it_back(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            self._put(id="r-9")
            self._put(id="r-1")
            self.assertEqual(["r-9"], self._list_usable())

        self.run_clocked(scenario)

    def test_an_older_entry_of_a_peer_is_ignored(self) -> None:
        async def scenario() -> None:
            self._build()
            self._put(id="r-1")
            old = self.directory.entries.list_copies()
            self._put(id="r-1", is_leaving=True)
            self.directory.apply_copies(old, {copy.key for copy in old})
            self.assertEqual([], self._list_usable())

        self.run_clocked(scenario)
