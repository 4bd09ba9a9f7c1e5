"""Non-idempotent calls run at most once, and never after "not run"."""

from __future__ import annotations

import signal

import trio

from martenquay_core import results
from martenquay_daemon.claims import records
from martenquay_standins import partners, running
from tests import scenarios

_Code = results.ResultCode


def _find_claim_holder(scene: scenarios.Scene, key: str) -> str:
    """Return the daemon of the key's first claim in the log, or ""."""
    for shard in range(4):
        for record in scene.world.log.list_records(f"claims-serrana-{shard}"):
            match records.decode(record.payload):
                case records.Claim() as claim if claim.key.endswith(key):
                    return claim.holder
    return ""


class ConcurrentKeyTest(scenarios.ScenarioTestCase):
    def test_the_same_key_at_all_daemons_at_once_runs_once(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 3)
            replies: list[scenarios.CallerReply] = []

            async def book(daemon: running.LocalDaemon) -> None:
                replies.append(await scene.caller.book(daemon, "slot-1"))

            async with trio.open_nursery() as nursery:
                for daemon in daemons * 4:
                    nursery.start_soon(book, daemon)
            self.assertEqual({200}, {reply.status for reply in replies})
            self.assertEqual(1, len({reply.body for reply in replies}))
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)

    def test_a_key_reused_for_another_request_is_rejected(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            await scene.caller.book(daemons[0], "slot-1", b"nine o'clock")
            other = await scene.caller.book(daemons[1], "slot-1", b"ten")
            self.assertEqual(_Code.KEY_REUSED, other.code)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)


class LostAnswerTest(scenarios.ScenarioTestCase):
    def test_a_call_whose_answer_is_lost_is_unknown_and_never_retried(self):
        async def scenario(scene: scenarios.Scene) -> None:
            services = [
                await scene.world.add_service(
                    partners.SERRANA, zone, f"desk-{zone}"
                )
                for zone in partners.SERRANA.zones
            ]
            for service in services:
                service.set_faults({"break_answers": True})
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            for daemon in daemons * 2:
                reply = await scene.caller.book(daemon, "slot-1")
                self.assertEqual(_Code.UNKNOWN_ANSWER_LOST, reply.code)
            runs = sum(service.runs["slot-1"] for service in services)
            self.assertEqual(1, runs)

        self.run_scene(scenario)

    def test_a_claim_whose_append_got_no_answer_is_settled_by_reading(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            scene.world.log.set_faults({"lose_answers": 1})
            reply = await scene.caller.book(daemons[0], "slot-1")
            self.assertEqual(200, reply.status)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)


class LogOutageTest(scenarios.ScenarioTestCase):
    def test_with_the_log_down_keyed_calls_are_rejected_and_never_run(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            scene.world.log.set_faults({"down": True})
            for daemon in daemons:
                reply = await scene.caller.book(daemon, "slot-1")
                self.assertEqual(_Code.NOT_RUN_LOG_DOWN, reply.code)
                self.assertIn(b"retry-after", reply.headers)
            unkeyed = await scene.caller.book(daemons[0], "")
            self.assertEqual(200, unkeyed.status)
            scene.world.log.set_faults({"down": False})
            self.assertEqual(0, service.runs["slot-1"])

        self.run_scene(scenario)

    def test_a_service_that_checks_keys_is_called_with_the_log_down(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            service.set_faults({"checks_keys": True})
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            pool = partners.SERRANA.service_pool
            await scene.ask(daemons[0], f"set pool {pool} checks_orders=true")
            scene.world.log.set_faults({"down": True})
            for _ in range(2):
                reply = await scene.caller.book(daemons[0], "slot-1")
                self.assertEqual(200, reply.status)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)

    def test_a_claim_appended_after_its_caller_was_told_not_run_never_runs(
        self,
    ):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            scene.world.log.set_faults({"late_effect_s": 3.0})
            refused = await scene.caller.book(daemons[0], "slot-1")
            self.assertEqual(_Code.NOT_RUN_LOG_DOWN, refused.code)
            scene.world.log.set_faults({"late_effect_s": 0.0})
            while not _find_claim_holder(scene, "slot-1"):
                await trio.sleep(0.05)
            self.assertEqual(0, service.runs["slot-1"])

            async def books_again() -> bool:
                reply = await scene.caller.book(daemons[1], "slot-1")
                return reply.status == 200

            await scene.wait_until(books_again)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)


class LostHolderTest(scenarios.ScenarioTestCase):
    def test_if_the_holder_is_killed_during_the_call_its_outcome_is_unknown(
        self,
    ):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            service.set_faults({"hang": True})
            daemons = await scene.start_processes(partners.SERRANA, 3)
            scene.nursery.start_soon(scene.caller.book, daemons[0], "slot-1")

            async def has_run() -> bool:
                return service.runs["slot-1"] == 1

            await scene.wait_until(has_run)
            daemons[0].send_signal(signal.SIGKILL)
            service.set_faults({"hang": False})
            for daemon in daemons[1:]:
                reply = await scene.caller.book(daemon, "slot-1")
                self.assertEqual(_Code.UNKNOWN_HOLDER_LOST, reply.code)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)

    def test_while_a_holder_is_suspended_no_other_daemon_makes_the_call(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_processes(partners.SERRANA, 3)
            suspended = daemons[0]
            # Without the delay the holder could make the call before it is
            # suspended.
            scene.world.log.set_faults({"answer_delay_s": 0.5})
            scene.nursery.start_soon(scene.caller.book, suspended, "slot-1")
            while not _find_claim_holder(scene, "slot-1"):
                await trio.sleep(0.005)
            suspended.send_signal(signal.SIGSTOP)
            self.assertEqual(0, service.runs["slot-1"])
            self.assertEqual(
                suspended.member, _find_claim_holder(scene, "slot-1")
            )
            scene.world.log.set_faults({"answer_delay_s": 0.0})
            reply = await scene.caller.book(daemons[1], "slot-1")
            self.assertEqual(_Code.UNKNOWN_HOLDER_LOST, reply.code)
            suspended.send_signal(signal.SIGCONT)

            async def has_outcome() -> bool:
                again = await scene.caller.book(daemons[2], "slot-1")
                return again.code != _Code.UNKNOWN_HOLDER_LOST

            await scene.wait_until(has_outcome)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)

    def test_partitioned_zones_that_reach_the_log_run_a_key_once(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-c", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            assert scene.world.network is not None
            scene.world.network.cut("serra-a", "serra-b")
            replies: list[scenarios.CallerReply] = []

            async def book(daemon: running.LocalDaemon) -> None:
                replies.append(await scene.caller.book(daemon, "slot-1"))

            async with trio.open_nursery() as nursery:
                for daemon in daemons * 2:
                    nursery.start_soon(book, daemon)
            self.assertEqual(1, service.runs["slot-1"])
            for reply in replies:
                self.assertIn(reply.code, {_Code.OK, _Code.UNKNOWN_HOLDER_LOST})

        self.run_scene(scenario, with_network=True)
