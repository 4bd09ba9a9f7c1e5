"""Daemons find the version that began a stream, or say that none is known."""

from __future__ import annotations

import trio
import trio.testing

from martenquay_daemon.origins import finder, records
from martenquay_standins.ports import log as memory
from tests import clocked, serving_builders
from tests import origin_builders as builders

_TIMEOUT_S = 0.8
_ONLY = finder.OnlyVersion("v1")


class FinderTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = memory.MemoryLog()

    async def _find(
        self, daemon: builders.OriginDaemon, request: str = "call-1"
    ) -> finder.Origin:
        return await daemon.finder.find(request, "model", _TIMEOUT_S)

    async def _write(self, *daemons: builders.OriginDaemon) -> None:
        """Let daemons write what is due, then end them."""
        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                for daemon in daemons:
                    nursery.start_soon(daemon.log.run)

    async def _observe_lifetime(self, daemon: builders.OriginDaemon) -> None:
        """Let a daemon observe the versions for longer than a stream lasts."""
        with trio.move_on_after(builders.LIFETIME_S + 1):
            await daemon.log.run()

    def test_a_stream_that_began_here_is_known(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            daemon.finder.note_begun("call-1", "model", "v1")
            begun = finder.Begun(builders.build_origin(1))
            self.assertEqual(begun, await self._find(daemon))
            self.assertEqual(0, self.log.calls)

        self.run_clocked(scenario)

    def test_a_stream_of_a_killed_daemon_is_found_in_the_log(self) -> None:
        async def scenario() -> None:
            killed = builders.create_daemon(self.log, "v1", "v1.1")
            killed.finder.note_begun("call-1", "model", "v1")
            await self._write(killed)
            for versions in (("v1", "v1.1"), ("v1.1",)):
                daemon = builders.create_daemon(self.log, *versions)
                begun = finder.Begun(builders.build_origin(1))
                self.assertEqual(begun, await self._find(daemon))

        self.run_clocked(scenario)

    def test_a_stream_of_before_the_second_version_is_found(self) -> None:
        async def scenario() -> None:
            killed = builders.create_daemon(self.log, "v1")
            killed.finder.note_begun("call-1", "model", "v1")
            await self._write(killed)
            self.assertEqual([], self.log.list_payloads("origins"))
            killed.set_versions("v1", "v1.1")
            await self._write(killed)
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            begun = finder.Begun(builders.build_origin(1))
            self.assertEqual(begun, await self._find(daemon))

        self.run_clocked(scenario)

    def test_a_stream_that_is_written_a_moment_later_is_waited_for(
        self,
    ) -> None:
        async def scenario() -> None:
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(beginner.log.run)
                await trio.sleep(0.1)
                beginner.finder.note_begun("call-1", "model", "v1")
                begun = finder.Begun(builders.build_origin(1))
                self.assertEqual(begun, await self._find(daemon))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_an_unknown_stream_of_a_mixed_service_stays_unknown(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            self.assertEqual(
                finder.UnknownVersion(is_log_read=True),
                await self._find(daemon),
            )

        self.run_clocked(scenario)

    def test_without_a_name_there_is_nothing_to_wait_for(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            started_at = trio.current_time()
            found = await self._find(daemon, "")
            self.assertEqual(finder.UnknownVersion(is_log_read=True), found)
            self.assertEqual(started_at, trio.current_time())

        self.run_clocked(scenario)

    def test_while_the_log_is_down_a_version_is_not_guessed(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            mixed = builders.create_daemon(self.log, "v1", "v1.1")
            started_just_now = builders.create_daemon(self.log, "v1")
            cut_off = builders.create_daemon(self.log, "v1")
            cut_off.history.observe("model")
            await trio.sleep(builders.LIFETIME_S + 1)
            cut_off.entries.age_s = builders.LIFETIME_S
            cut_off.entries.is_log_cut = True
            for daemon in (mixed, started_just_now, cut_off):
                self.assertEqual(
                    finder.UnknownVersion(is_log_read=False),
                    await self._find(daemon),
                )

        self.run_clocked(scenario)

    def test_a_log_that_answers_too_late_counts_as_not_read(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_silent = True
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            started_at = trio.current_time()
            unknown = finder.UnknownVersion(is_log_read=False)
            self.assertEqual(unknown, await self._find(daemon))
            self.assertEqual(_TIMEOUT_S, trio.current_time() - started_at)

        self.run_clocked(scenario)

    def test_during_an_outage_a_daemon_that_has_read_calls_no_more(
        self,
    ) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(daemon.log.run)
                await trio.sleep(1.0)
                calls = self.log.calls
                self.log.faults.is_down = True
                await trio.sleep(10.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(calls, self.log.calls)

        self.run_clocked(scenario)

    def test_a_lone_version_needs_no_call(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            await self._observe_lifetime(daemon)
            calls = self.log.calls
            self.assertEqual(_ONLY, await self._find(daemon))
            self.assertEqual((calls, 0), (self.log.calls, daemon.entries.reads))

        self.run_clocked(scenario)

    def test_a_version_that_joined_while_a_daemon_stood_still_is_found(
        self,
    ) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            await self._observe_lifetime(daemon)
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            beginner.finder.note_begun("call-2", "model", "v1.1")
            await self._write(beginner)
            daemon.entries.newest = builders.build_runners("v1", "v1.1")
            daemon.entries.age_s = 3.0
            begun = finder.Begun(builders.build_origin(2, software="v1.1"))
            self.assertEqual(begun, await self._find(daemon, "call-2"))

        self.run_clocked(scenario)

    def test_a_version_that_came_and_left_in_a_gap_is_found(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            await self._observe_lifetime(daemon)
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            beginner.finder.note_begun("call-2", "model", "v1.1")
            await self._write(beginner)
            await trio.sleep(4.0)
            begun = finder.Begun(builders.build_origin(2, software="v1.1"))
            self.assertEqual(begun, await self._find(daemon, "call-2"))

        self.run_clocked(scenario)

    def test_a_daemon_that_is_cut_off_just_now_does_not_guess(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            await self._observe_lifetime(daemon)
            daemon.entries.age_s = 1.0
            daemon.entries.is_log_cut = True
            self.assertEqual(
                finder.UnknownVersion(is_log_read=False),
                await self._find(daemon, "call-2"),
            )

        self.run_clocked(scenario)

    def test_a_version_that_was_replaced_while_all_daemons_were_down_counts(
        self,
    ) -> None:
        async def scenario() -> None:
            killed = builders.create_daemon(self.log, "v1")
            killed.finder.note_begun("call-1", "model", "v1")
            await self._write(killed)
            daemon = builders.create_daemon(self.log, "v1.1")
            self.assertEqual(
                finder.UnknownVersion(is_log_read=True),
                await self._find(daemon),
            )
            await self._write(daemon)
            # Another kill of all daemons does not end the time.
            await trio.sleep(builders.LIFETIME_S / 2)
            daemon = builders.create_daemon(self.log, "v1.1")
            self.assertEqual(
                finder.UnknownVersion(is_log_read=True),
                await self._find(daemon),
            )
            await trio.sleep(builders.LIFETIME_S)
            self.assertEqual(
                finder.OnlyVersion("v1.1"), await self._find(daemon)
            )

        self.run_clocked(scenario)

    def test_an_origin_is_written_within_an_eighth_of_a_second(self) -> None:
        async def scenario() -> None:
            killed = builders.create_daemon(self.log, "v1", "v1.1")
            with trio.move_on_after(2.45):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(killed.log.run)
                    for number in range(20):
                        await trio.sleep(0.11)
                        killed.finder.note_begun(
                            f"call-{number}", "model", "v1"
                        )
                    await trio.sleep(0.125)
                    nursery.cancel_scope.cancel()
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            found = await self._find(daemon, "call-19")
            self.assertIsInstance(found, finder.Begun)
            # At most one in each interval, and those that begin a daemon.
            self.assertLess(self.log.calls, 2.45 / 0.12 + 8)

        self.run_clocked(scenario)

    def test_during_an_outage_writes_are_tried_each_half_second(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(daemon.log.run)
                await trio.sleep(1.0)
                self.log.faults.is_down = True
                calls = self.log.calls
                for number in range(100):
                    daemon.finder.note_begun(f"call-{number}", "model", "v1")
                    await trio.sleep(0.1)
                self.assertLessEqual(self.log.calls - calls, 21)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_lone_version_at_a_daemon_that_has_just_started(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            self.assertEqual(_ONLY, await self._find(daemon))
            # The versions of before, and the origins.
            self.assertEqual(2, self.log.calls)

        self.run_clocked(scenario)

    def test_a_version_that_left_counts_for_as_long_as_its_streams(
        self,
    ) -> None:
        async def scenario() -> None:
            before = builders.create_daemon(self.log, "v1", "v1.1")
            before.finder.note_begun("call-1", "model", "v1")
            await self._write(before)
            daemon = builders.create_daemon(self.log, "v1.1")
            unknown = finder.UnknownVersion(is_log_read=True)
            self.assertEqual(unknown, await self._find(daemon, "call-2"))
            await trio.sleep(builders.LIFETIME_S)
            self.assertEqual(
                finder.OnlyVersion("v1.1"), await self._find(daemon, "call-2")
            )

        self.run_clocked(scenario)

    def test_streams_that_begin_after_a_version_left_are_written(self) -> None:
        async def scenario() -> None:
            before = builders.create_daemon(self.log, "v1", "v1.1")
            before.finder.note_begun("call-1", "model", "v1")
            await self._write(before)
            restarted = builders.create_daemon(self.log, "v1.1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restarted.log.run)
                await trio.sleep(0.1)
                restarted.finder.note_begun("call-2", "model", "v1.1")
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            daemon = builders.create_daemon(self.log, "v1.1")
            begun = finder.Begun(builders.build_origin(2, software="v1.1"))
            self.assertEqual(begun, await self._find(daemon, "call-2"))

        self.run_clocked(scenario)


class SharingTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = memory.MemoryLog()

    def test_other_daemons_learn_of_a_stream_before_the_log_has_it(
        self,
    ) -> None:
        async def scenario() -> None:
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            beginner.finder.note_begun("call-1", "model", "v1")
            for record in beginner.peers.shared:
                daemon.log.apply_shared(record)
            found = await daemon.finder.find("call-1", "model", _TIMEOUT_S)
            self.assertEqual(finder.Begun(builders.build_origin(1)), found)
            self.assertEqual(0, self.log.calls)

        self.run_clocked(scenario)

    def test_with_one_version_nothing_is_shared(self) -> None:
        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1")
            daemon.finder.note_begun("call-1", "model", "v1")
            self.assertEqual([], daemon.peers.shared)

        self.run_clocked(scenario)

    def test_in_a_large_fleet_the_hub_writes_what_daemons_share(self) -> None:
        async def scenario() -> None:
            beginner = builders.create_daemon(
                self.log,
                "v1",
                "v1.1",
                peers=serving_builders.FakeOriginPeers(has_hubs=True),
            )
            hub = builders.create_daemon(
                self.log,
                "v1",
                "v1.1",
                peers=serving_builders.FakeOriginPeers(
                    has_hubs=True, is_hub=True
                ),
            )
            beginner.finder.note_begun("call-1", "model", "v1")
            for record in beginner.peers.shared:
                hub.log.apply_shared(record)
            with trio.move_on_after(1.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(beginner.log.run)
                    nursery.start_soon(hub.log.run)
            (record,) = self.log.list_payloads("origins")
            batch = records.decode_batch(record)
            self.assertEqual([builders.build_origin(1)], batch.origins)

        self.run_clocked(scenario)

    def test_a_record_that_cannot_be_read_is_passed_over(self) -> None:
        async def scenario() -> None:
            await self.log.append("origins", [b"nothing"])
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            beginner.finder.note_begun("call-1", "model", "v1")
            with trio.move_on_after(1.0):
                await beginner.log.run()
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            daemon.log.apply_shared(b"nothing")
            found = await daemon.finder.find("call-1", "model", _TIMEOUT_S)
            self.assertEqual(finder.Begun(builders.build_origin(1)), found)

        self.run_clocked(scenario)

    def test_a_stream_that_begins_as_a_service_becomes_unmixed(self) -> None:
        clock = trio.testing.MockClock()

        async def scenario() -> None:
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            daemon.history.observe("model")
            daemon.set_versions("v1.1")
            clock.jump(builders.LIFETIME_S - 0.0015)
            daemon.on_listed = lambda: clock.jump(0.001)
            daemon.finder.note_begun("call-1", "model", "v1.1")

        trio.run(scenario, clock=clock)

    def test_a_record_with_a_huge_time_is_passed_over(self) -> None:
        async def scenario() -> None:
            digits = b"9" * 400
            await self.log.append(
                "origins", [b'[["model",' + digits + b",{}]]"]
            )
            value = b'{"v1":' + digits + b"}"
            await self.log.append(
                serving_builders.TOPICS.versions,
                [self.log.join_keyed("model", value)],
            )
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            beginner.finder.note_begun("call-1", "model", "v1")
            with trio.move_on_after(1.0):
                await beginner.log.run()
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            found = await daemon.finder.find("call-1", "model", _TIMEOUT_S)
            self.assertEqual(finder.Begun(builders.build_origin(1)), found)

        self.run_clocked(scenario)

    def test_origins_are_read_anew_from_a_restored_log(self) -> None:
        async def scenario() -> None:
            older = self.log.take_copy()
            beginner = builders.create_daemon(self.log, "v1", "v1.1")
            daemon = builders.create_daemon(self.log, "v1", "v1.1")
            beginner.finder.note_begun("call-1", "model", "v1")
            with trio.move_on_after(1.0):
                await beginner.log.run()
            await daemon.log.read()
            self.log.restore(older)
            beginner.finder.note_begun("call-2", "model", "v1.1")
            with trio.move_on_after(1.0):
                await beginner.log.run()
            found = await daemon.finder.find("call-2", "model", _TIMEOUT_S)
            expected = builders.build_origin(2, software="v1.1")
            self.assertEqual(finder.Begun(expected), found)

        self.run_clocked(scenario)
