"""A follower tells each record once and in order, through gaps and outages."""

from __future__ import annotations

from unittest import mock

import trio

from martenquay_core.serving import ports
from martenquay_daemon import supervision
from martenquay_daemon.discovery import (
    catalog_sink,
    catalog_store,
    contact,
    keyed_follower,
)
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders

_PACE = keyed_follower.ReadSchedule(wait_s=1.0)


class _Sink:
    """Remember what was told."""

    def __init__(self) -> None:
        self.snapshots: list[list[str]] = []
        self.records: list[tuple[int, str]] = []

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Remember a snapshot's keys."""
        self.snapshots.append(sorted(r.key for r in snapshot.records))

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Remember a record."""
        self.records.append((record.offset, record.key))


class _FaultySink(_Sink):
    """Fail at one key's records."""

    def __init__(self, bad: str) -> None:
        super().__init__()
        self._bad = bad

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Remember a record, or raise."""
        if record.key == self._bad:
            raise ValueError("this is no record")
        super().apply_change(record)


class KeyedFollowerTest(clocked.ClockedTestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            self.log = log.MemoryLog()
            self.sink = _Sink()
            self.contact = contact.LogContact()
            self.follower = keyed_follower.KeyedFollower(
                self.log, self.contact, "runners", self.sink, _PACE
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.follower.run)
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def test_the_newest_records_come_first_and_then_each_new_one(self) -> None:
        async def scenario() -> None:
            self.log.put("runners", "r-1", b"x")
            await trio.sleep(0.1)
            self.log.put("runners", "r-2", b"x")
            self.log.put("runners", "r-1", b"y")
            await trio.sleep(0.1)
            self.assertEqual([["r-1"]], self.sink.snapshots)
            self.assertEqual([(1, "r-2"), (2, "r-1")], self.sink.records)

        self._run(scenario)

    def test_a_gap_is_bridged_by_the_newest_records(self) -> None:
        async def scenario() -> None:
            await trio.sleep(0.1)
            self.log.faults.is_down = True
            await trio.sleep(2.0)
            self.log.put("runners", "r-1", b"x")
            self.log.forget("runners")
            self.log.faults.is_down = False
            await trio.sleep(2.0)
            self.assertEqual([[], ["r-1"]], self.sink.snapshots)

        self._run(scenario)

    def test_loss_and_return_of_the_log_are_noted(self) -> None:
        async def scenario() -> None:
            await trio.sleep(0.1)
            self.log.faults.is_down = True
            await trio.sleep(2.0)
            self.assertTrue(self.contact.is_lost)
            self.log.faults.is_down = False
            await trio.sleep(2.0)
            self.assertFalse(self.contact.is_lost)
            self.assertGreater(self.contact.regained_at, 0.0)

        self._run(scenario)

    def test_a_record_that_nobody_can_read_is_passed_over_once(self) -> None:
        async def scenario() -> None:
            sink = _FaultySink("bad")
            follower = keyed_follower.KeyedFollower(
                self.log, self.contact, "members", sink, _PACE
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    supervision.keep_running, "members", follower.run
                )
                await trio.sleep(0.1)
                with mock.patch.object(supervision, "_LOG") as told:
                    for name in ("r-1", "bad", "r-2"):
                        self.log.put("members", name, b"x")
                    await trio.sleep(5.0)
                nursery.cancel_scope.cancel()
            self.assertEqual([(0, "r-1"), (2, "r-2")], sink.records)
            self.assertEqual(1, told.write.call_count)
            self.assertIn("no record", told.write.call_args.args[0])

        self._run(scenario)

    def test_a_record_without_a_key_leaves_the_others(self) -> None:
        async def scenario() -> None:
            noted: list[str] = []
            self.follower.on_unreadable = noted.append
            await trio.sleep(0.1)
            split = self.log.split_keyed

            def refuse(payload: bytes, offset: int) -> ports.KeyedRecord:
                if payload.startswith(b"bad"):
                    raise ValueError("no whole key")
                return split(payload, offset)

            for name in ("r-1", "bad", "r-2"):
                self.log.put("runners", name, b"x")
            with mock.patch.object(self.log, "split_keyed", refuse):
                await trio.sleep(0.1)
            self.assertEqual([(0, "r-1"), (2, "r-2")], self.sink.records)
            self.assertEqual(["runners"], noted)

        self._run(scenario)

    def test_what_a_peer_has_told_is_not_told_again(self) -> None:
        async def scenario() -> None:
            await trio.sleep(0.1)
            self.follower.skip_to(2)
            for name in ("r-1", "r-2", "r-3"):
                self.log.put("runners", name, b"x")
            await trio.sleep(0.1)
            self.assertEqual([(2, "r-3")], self.sink.records)

        self._run(scenario)


class CatalogStoreTest(clocked.ClockedTestCase):
    def _build(self) -> catalog_store.CatalogStore:
        records = builders.FakeRecords()
        for version in (3, 4, 8):
            raw = b"%d" % version
            records.catalogs[raw] = builders.build_catalog(version=version)
        return catalog_store.create_store(records)

    def test_a_version_is_never_taken_back(self) -> None:
        store = self._build()
        self.assertTrue(store.offer(b"4", "log"))
        self.assertFalse(store.offer(b"3", "a peer"))
        self.assertEqual(4, store.version)
        self.assertTrue(store.offer(b"8", "a peer"))
        self.assertEqual(8, store.version)

    def test_a_malformed_version_leaves_the_last_good_one(self) -> None:
        store = self._build()
        store.offer(b"4", "log")
        self.assertFalse(store.offer(b"broken", "log"))
        self.assertEqual(4, store.version)

    def test_other_keys_of_the_topic_are_passed_over(self) -> None:
        store = self._build()
        sink = catalog_sink.CatalogSink(store, "config")
        sink.apply_change(ports.KeyedRecord(1, "other", b"4"))
        self.assertEqual(0, store.version)
        sink.apply_change(ports.KeyedRecord(2, "config", b"4"))
        sink.apply_change(ports.KeyedRecord(3, "config", None))
        self.assertEqual(4, store.version)
