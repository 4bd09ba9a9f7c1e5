"""Guard against two lease holders at a time and against fences that fall."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING
from unittest import mock

import msgspec
import trio
from expression import Error, Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.serving import ports
from martenquay_daemon.duties import duty_calls, lease, lease_topic
from martenquay_daemon.fleet import messages, view
from martenquay_standins.ports import log
from tests import clocked

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_LENGTH_S = 3.0
_ORDER = ports.DesiredRunners("model", "aa", False, 2)
# Invalid encoding, another structure, an unknown kind, invalid text.
_UNREADABLE = (
    b"\xc1",
    msgspec.msgpack.encode({"kind": 0}),
    msgspec.msgpack.encode([9, "entry-9.aa", "entry-9", 0, 1]),
    b"\x95\x00\xa1\xff\xa1a\x00\x01",
)


class _DisconnectableLog:
    """One daemon's connection to the log.

    Attributes:
        is_disconnected: Calls fail.
    """

    def __init__(self, store: log.MemoryLog) -> None:
        self.is_disconnected = False
        self._store = store

    async def read(self, topic: str, start: int, *, wait_s: float = 0.0):
        """Read unless disconnected."""
        if self.is_disconnected:
            return await _fail_call()
        return await self._store.read(topic, start, wait_s=wait_s)

    async def append(self, topic: str, payloads: list[bytes], **options):
        """Append unless disconnected."""
        if self.is_disconnected:
            return await _fail_call()
        return await self._store.append(topic, payloads, **options)


class _SlowCloud:
    """Implements `ports.CloudPort`.

    Attributes:
        arrived: Set once a call has arrived.
    """

    def __init__(self, delay_s: float) -> None:
        self.arrived = trio.Event()
        self._delay_s = delay_s

    def set_address(self, address: str) -> None:
        """Do nothing: there is one address only."""

    async def report_usage(
        self, report: ports.UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Accept a report late."""
        return await self._accept()

    async def order_runners(
        self, order: ports.DesiredRunners, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Accept an order late."""
        return await self._accept()

    async def _accept(self) -> Result[int, outcome.PlatformFailure]:
        await trio.sleep(self._delay_s)
        self.arrived.set()
        return Ok(200)


async def _fail_call() -> Result[None, outcome.PlatformFailure]:
    await trio.sleep(0.3)
    return Error(outcome.PlatformFailure(outcome.Effect.UNKNOWN, "cut"))


async def _gossip_status(first: lease.Lease, second: lease.Lease) -> None:
    """Pass the first one's status to the second as digests do."""
    while True:
        status = first.create_status()
        second.apply_status("entry-1.aa", status, is_leaving=False)
        await trio.sleep(0.25)


class LeaseTest(clocked.ClockedTestCase):
    def _create(
        self, store: log.MemoryLog, name: str
    ) -> tuple[lease.Lease, view.FleetView]:
        fleet = view.FleetView(name)
        one = lease.create_lease(
            store, "lease", f"{name}.aa", name, _LENGTH_S, fleet
        )
        return one, fleet

    def _create_on(self, store: _DisconnectableLog, name: str) -> lease.Lease:
        fleet = view.FleetView(name)
        return lease.create_lease(
            store, "lease", f"{name}.aa", name, _LENGTH_S, fleet
        )

    async def _wait_until_held(self, one: lease.Lease) -> None:
        with trio.fail_after(60.0):
            while not one.is_held():
                await trio.sleep(0.05)

    def test_the_first_daemon_takes_a_lease_that_was_never_held(self) -> None:
        async def scenario() -> None:
            one, _ = self._create(log.MemoryLog(), "entry-1")
            async with _hold_lease(one):
                self.assertEqual(1, one.fence)
                await trio.sleep(20.0)
                self.assertTrue(one.is_held())
                self.assertEqual(1, one.fence)

        self.run_clocked(scenario)

    def test_of_many_daemons_one_holds_it_at_any_time(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            leases = [self._create(store, f"entry-{n}")[0] for n in range(6)]
            async with trio.open_nursery() as nursery:
                for one in leases:
                    nursery.start_soon(one.run)
                for step in range(400):
                    await trio.sleep(0.1)
                    self.assertLessEqual(sum(o.is_held() for o in leases), 1)
                    store.faults.is_down = 100 < step < 160
                self.assertEqual(1, sum(o.is_held() for o in leases))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_daemons_that_try_at_the_same_time_do_not_both_get_it(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            # Longer than the jitter at the start, so that appends overlap.
            store.faults.append_s = 1.2
            leases = [self._create(store, f"entry-{n}")[0] for n in range(6)]
            async with trio.open_nursery() as nursery:
                for one in leases:
                    nursery.start_soon(one.run)
                for _ in range(200):
                    await trio.sleep(0.05)
                    self.assertLessEqual(sum(o.is_held() for o in leases), 1)
                nursery.cancel_scope.cancel()
            fences = [o.fence for o in leases if o.fence]
            self.assertEqual(len(set(fences)), len(fences))

        self.run_clocked(scenario)

    def test_a_holder_that_cannot_renew_stops_before_another_begins(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            async with trio.open_nursery() as nursery:
                frozen = trio.CancelScope()
                nursery.start_soon(_run_in, frozen, first)
                await self._wait_until_held(first)
                frozen.cancel()
                stopped_at = trio.current_time()
                second, _ = self._create(store, "entry-2")
                nursery.start_soon(second.run)
                ended_at = math.nan
                while not second.is_held():
                    if not first.is_held() and math.isnan(ended_at):
                        ended_at = trio.current_time()
                    await trio.sleep(0.02)
                self.assertLess(ended_at, trio.current_time())
                self.assertGreater(trio.current_time() - stopped_at, _LENGTH_S)
                self.assertGreater(second.fence, first.fence)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_holder_cut_off_from_the_log_is_followed_within_a_second(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            connection = _DisconnectableLog(store)
            first = self._create_on(connection, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                nursery.start_soon(_gossip_status, first, second)
                await trio.sleep(5.0)
                connection.is_disconnected = True
                while first.is_held():
                    await trio.sleep(0.01)
                ended_at = trio.current_time()
                await self._wait_until_held(second)
                gap_s = trio.current_time() - ended_at
                # The margin of both sides and the successor's staggered append.
                self.assertGreaterEqual(gap_s, _LENGTH_S / 3)
                self.assertLess(gap_s, _LENGTH_S / 3 + 0.5)
                self.assertGreater(second.fence, first.fence)

        self.run_clocked(scenario)

    def test_a_holder_whose_gossip_is_lost_keeps_the_lease(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                status = first.create_status()
                second.apply_status("entry-1.aa", status, is_leaving=False)
                for _ in range(200):
                    await trio.sleep(0.1)
                    self.assertTrue(first.is_held())
                    self.assertFalse(second.is_held())

        self.run_clocked(scenario)

    def test_gossip_never_moves_the_holders_topic_end(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            async with _hold_lease(first):
                status = messages.LeaseStatus(first.fence, 40, 2000)
                first.apply_status("entry-9.aa", status, is_leaving=False)
                await trio.sleep(10.0)
                self.assertTrue(first.is_held())

        self.run_clocked(scenario)

    def test_a_late_renewal_extends_nothing(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            one, _ = self._create(store, "entry-1")
            async with _hold_lease(one):
                store.faults.late_appends = 1
                while store.faults.late_appends:
                    await trio.sleep(0.01)
                sent_at = trio.current_time()
                store.faults.is_down = True
                await trio.sleep(2.0)
                store.apply_late_appends()
                store.faults.is_down = False
                store.faults.late_appends = 1000
                while one.is_held():
                    await trio.sleep(0.01)
                self.assertLessEqual(trio.current_time() - sent_at, _LENGTH_S)

        self.run_clocked(scenario)

    def test_a_lost_answer_does_not_lose_the_lease(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            one, _ = self._create(store, "entry-1")
            store.faults.lost_answers = 2
            async with _hold_lease(one):
                await trio.sleep(10.0)
                self.assertTrue(one.is_held())

        self.run_clocked(scenario)

    def test_a_planned_stop_hands_it_over_at_once(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                nursery.start_soon(_gossip_status, first, second)
                await trio.sleep(5.0)
                await first.release()
                second.apply_status("entry-1.aa", None, is_leaving=True)
                released_at = trio.current_time()
                self.assertFalse(first.is_held())
                await self._wait_until_held(second)
                waited_s = trio.current_time() - released_at
                self.assertLess(waited_s, _LENGTH_S)

        self.run_clocked(scenario)

    def test_a_former_holder_does_not_return_within_a_lease(self) -> None:
        # Guards against holders that act in the order A, B, A when B releases
        # a lease that it has just taken over from A.
        async def scenario() -> None:
            store = log.MemoryLog()
            connection = _DisconnectableLog(store)
            first = self._create_on(connection, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                await trio.sleep(5.0)
                acted_at = await self._lose_lease(connection, first, second)
                await second.release()
                first.apply_status("entry-2.aa", None, is_leaving=True)
                await self._wait_until_held(first)
                waited_s = trio.current_time() - acted_at
                self.assertGreaterEqual(waited_s, _LENGTH_S)

        self.run_clocked(scenario)

    def test_a_former_holder_does_not_return_after_several_others(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            connection = _DisconnectableLog(store)
            first = self._create_on(connection, "entry-1")
            others = [self._create(store, f"entry-{n}")[0] for n in (2, 3)]
            async with _hold_lease(first) as nursery:
                nursery.start_soon(others[0].run)
                await trio.sleep(5.0)
                acted_at = await self._lose_lease(connection, first, others[0])
                # The third one's process is old enough to take the lease.
                await others[0].release()
                nursery.start_soon(others[1].run)
                await self._wait_until_held(others[1])
                await others[1].release()
                await self._wait_until_held(first)
                waited_s = trio.current_time() - acted_at
                self.assertGreaterEqual(waited_s, _LENGTH_S)

        self.run_clocked(scenario)

    def test_others_take_a_released_lease_beside_a_former_holder(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            connections = [_DisconnectableLog(store) for _ in range(2)]
            first = self._create_on(connections[0], "entry-1")
            second, _ = self._create(store, "entry-2")
            connections[1].is_disconnected = True
            third = self._create_on(connections[1], "entry-3")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                nursery.start_soon(third.run)
                await trio.sleep(5.0)
                await self._lose_lease(connections[0], first, second)
                connections[1].is_disconnected = False
                await second.release()
                released_at = trio.current_time()
                await self._wait_until_held(third)
                waited_s = trio.current_time() - released_at
                self.assertLess(waited_s, _LENGTH_S / 2)

        self.run_clocked(scenario)

    def test_a_former_holder_that_nobody_succeeded_waits_no_longer(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            connection = _DisconnectableLog(store)
            first = self._create_on(connection, "entry-1")
            async with _hold_lease(first):
                await trio.sleep(5.0)
                connection.is_disconnected = True
                while first.is_held():
                    await trio.sleep(0.01)
                ended_at = trio.current_time()
                connection.is_disconnected = False
                await self._wait_until_held(first)
                # The margin of both sides and the poll of a candidate.
                gap_s = trio.current_time() - ended_at
                self.assertLess(gap_s, _LENGTH_S / 3 + 0.5)

        self.run_clocked(scenario)

    async def _lose_lease(
        self,
        connection: _DisconnectableLog,
        first: lease.Lease,
        second: lease.Lease,
    ) -> float:
        """Cut the holder off the log until the other one has succeeded it.

        Returns:
            When the first one held the lease last, in trio's time.
        """
        connection.is_disconnected = True
        held_at = trio.current_time()
        while not second.is_held():
            if first.is_held():
                held_at = trio.current_time()
            await trio.sleep(0.01)
        connection.is_disconnected = False
        return held_at

    def test_a_release_waits_for_calls_under_way(self) -> None:
        # Guards against a call of the former holder that arrives after the
        # successor's first one, with the lower fence.
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                await trio.sleep(5.0)
                slow = _SlowCloud(0.8)
                leased = duty_calls.LeasedCloud(slow, first)
                nursery.start_soon(leased.order_runners, _ORDER, "entry-1", 1)
                await trio.sleep(0.1)
                await first.release()
                self.assertTrue(slow.arrived.is_set())
                await self._wait_until_held(second)

        self.run_clocked(scenario)

    def test_a_refused_append_is_not_repeated_at_once(self) -> None:
        # Guards against a candidate that calls a store which refuses all calls
        # as fast as it answers.
        async def scenario() -> None:
            store = log.MemoryLog()
            connection = _DisconnectableLog(store)
            first = self._create_on(connection, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                nursery.start_soon(_gossip_status, first, second)
                await trio.sleep(5.0)
                connection.is_disconnected = True
                store.faults.is_down = True
                store.faults.answer_s = 0.004
                while first.is_held():
                    await trio.sleep(0.05)
                await trio.sleep(2.0)
                calls = store.calls
                await trio.sleep(5.0)
                # An append and a read each retry interval.
                self.assertLessEqual(store.calls - calls, 2 * 5.0 / 0.2)

        self.run_clocked(scenario)

    def test_a_restarted_daemon_waits_for_its_old_lease_to_expire(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            async with _hold_lease(first):
                await first.release()
            started_at = trio.current_time()
            again, _ = self._create(store, "entry-1")
            async with _hold_lease(again):
                self.assertGreater(trio.current_time() - started_at, _LENGTH_S)

        self.run_clocked(scenario)

    def test_unreadable_records_are_skipped(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            await store.append("lease", list(_UNREADABLE))
            read_at = trio.current_time()
            one, _ = self._create(store, "entry-1")
            with mock.patch.object(lease_topic, "_LOG") as log_mock:
                async with _hold_lease(one):
                    # An unreadable record may have acquired the lease.
                    self.assertGreater(trio.current_time() - read_at, _LENGTH_S)
                    self.assertEqual(len(_UNREADABLE) + 1, one.fence)
                    # An unreadable record that comes later does not end the
                    # lease.
                    await store.append("lease", [_UNREADABLE[0]])
                    for _ in range(200):
                        await trio.sleep(0.1)
                        self.assertTrue(one.is_held())
            self.assertEqual(len(_UNREADABLE) + 1, log_mock.write.call_count)

        self.run_clocked(scenario)

    def test_an_unreadable_record_after_a_release_is_waited_for(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            async with _hold_lease(first):
                await first.release()
            second, _ = self._create(store, "entry-2")
            # Let the wait for a lease of an earlier process pass.
            await trio.sleep(10.0)
            await store.append("lease", [_UNREADABLE[0]])
            read_at = trio.current_time()
            async with _hold_lease(second):
                self.assertGreater(trio.current_time() - read_at, _LENGTH_S)

        self.run_clocked(scenario)

    def test_a_log_that_forgot_the_records_still_gives_a_higher_fence(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            async with _hold_lease(first):
                self.assertEqual(1, first.fence)
            store.forget("lease")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(second):
                self.assertGreater(second.fence, first.fence)

        self.run_clocked(scenario)

    def test_a_holder_whose_records_were_dropped_is_waited_for(self) -> None:
        # Guards against a second holder after the log dropped the records of
        # the first one before a daemon that was cut off could read them.
        async def scenario() -> None:
            store = log.MemoryLog()
            connection = _DisconnectableLog(store)
            first = self._create_on(connection, "entry-1")
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                await trio.sleep(5.0)
                await self._lose_lease(connection, first, second)
                store.forget("lease")
                await self._check_one_holds(first, second)

        self.run_clocked(scenario)

    def test_a_daemon_new_to_a_restored_log_waits_for_its_holder(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            older = store.take_copy()
            first, _ = self._create(store, "entry-1")
            connection = _DisconnectableLog(store)
            connection.is_disconnected = True
            second = self._create_on(connection, "entry-2")
            async with _hold_lease(first) as nursery:
                nursery.start_soon(second.run)
                await trio.sleep(5.0)
                store.restore(older)
                connection.is_disconnected = False
                await self._check_one_holds(first, second)

        self.run_clocked(scenario)

    async def _check_one_holds(
        self, first: lease.Lease, second: lease.Lease
    ) -> None:
        for _ in range(200):
            self.assertFalse(first.is_held() and second.is_held())
            await trio.sleep(0.05)
        self.assertTrue(first.is_held() or second.is_held())

    def test_no_fence_is_given_twice_after_the_log_is_restored(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            first, _ = self._create(store, "entry-1")
            older = store.take_copy()
            async with _hold_lease(first):
                former_fence = first.fence
            store.restore(older)
            second, _ = self._create(store, "entry-2")
            async with _hold_lease(second):
                self.assertGreater(second.fence, former_fence)

        self.run_clocked(scenario)

    def test_one_daemon_at_a_time_holds_it_while_the_log_is_restored(
        self,
    ) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            leases = [self._create(store, f"entry-{n}")[0] for n in range(6)]
            fences: set[tuple[int, str]] = set()
            async with trio.open_nursery() as nursery:
                for one in leases:
                    nursery.start_soon(one.run)
                older = store.take_copy()
                for step in range(600):
                    await trio.sleep(0.1)
                    held = [one for one in leases if one.is_held()]
                    self.assertLessEqual(len(held), 1)
                    fences |= {(one.fence, one._instance) for one in held}
                    if step % 70 == 20:
                        older = store.take_copy()
                    elif step % 70 == 50:
                        store.restore(older)
                self.assertEqual(1, sum(o.is_held() for o in leases))
                nursery.cancel_scope.cancel()
            self.assertEqual(len(fences), len({fence for fence, _ in fences}))

        self.run_clocked(scenario)

    def test_a_record_of_a_writer_that_missed_a_restore_is_void(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            topic = lease_topic.LeaseTopic(store, "lease", "a.1", "a")
            taken = lease_topic.RecordKind.TAKEN
            await topic.append(taken, 0)
            older = store.take_copy()
            await topic.append(lease_topic.RecordKind.RENEWED, topic.fence)
            store.restore(older)
            other = lease_topic.LeaseTopic(store, "lease", "b.1", "b")
            await other.read()
            self.assertTrue(await other.append(taken, 0))
            # The restored topic ends where the first one believes it to end.
            record = lease_topic.LeaseRecord(
                lease_topic.RecordKind.RENEWED, "a.1", "a", 1, 9, topic.end
            )
            await store.append("lease", [msgspec.msgpack.encode(record)])
            await other.read()
            self.assertEqual("b.1", other.last.member)

        self.run_clocked(scenario)


@contextlib.asynccontextmanager
async def _hold_lease(one: lease.Lease) -> AsyncIterator[trio.Nursery]:
    """Run a lease and enter the block once it is held."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run)
        while not one.is_held():
            await trio.sleep(0.05)
        yield nursery
        nursery.cancel_scope.cancel()


async def _run_in(scope: trio.CancelScope, one: lease.Lease) -> None:
    with scope:
        await one.run()
