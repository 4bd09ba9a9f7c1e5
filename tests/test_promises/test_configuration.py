"""Accepted configuration is in force in every zone and never reverts."""

from __future__ import annotations

import signal
from typing import Any

import trio

from martenquay_core import results
from martenquay_core.config import fold, records, snapshot
from martenquay_standins import network, partners, running
from tests import scenarios

_Code = results.ResultCode
_OPERATORS = {
    "serrana": "serrana-operator",
    "lindqvist": "lindqvist-operator",
}


async def _read_weight(
    scene: scenarios.Scene, daemon: Any, team: str = "counter"
) -> Any:
    rows = await scene.list_rows(daemon, "show teams where partner=serrana")
    return {row["name"]: row.get("weight") for row in rows}.get(team)


class RaceTest(scenarios.ScenarioTestCase):
    def test_of_racing_changes_to_one_version_exactly_one_is_accepted(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 3)
            rows = await scene.list_rows(daemons[0], "show teams counter")
            version = rows[0]["version"]
            codes: list[int] = []

            async def change(number: int) -> None:
                reply = await scene.ask(
                    daemons[number % 3],
                    f"set team counter weight={number + 2} "
                    f"if version {version}",
                )
                codes.append(reply.status)

            async with trio.open_nursery() as nursery:
                for number in range(9):
                    nursery.start_soon(change, number)
            self.assertEqual([200] + [409] * 8, sorted(codes))

        self.run_scene(scenario)

    def test_operators_of_both_partners_race_and_all_daemons_agree(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = [
                *await scene.start_daemons(partners.SERRANA, 3),
                *await scene.start_daemons(partners.LINDQVIST, 3),
            ]
            scene.world.log.set_faults({"lose_answers": 5})

            async def change(daemon: running.LocalDaemon, number: int) -> None:
                partner = daemon.process.settings.partner
                for step in range(4):
                    await scene.ask(
                        daemon,
                        f"set team counter weight={number + step + 1}",
                        _OPERATORS[partner],
                    )

            async with trio.open_nursery() as nursery:
                for number, daemon in enumerate(daemons):
                    nursery.start_soon(change, daemon, number)
            end = scene.world.log.list_records("config")[-1].offset
            digests = set()
            for daemon in daemons:
                operator = _OPERATORS[daemon.process.settings.partner]
                await scene.wait_until(
                    self._has_applied, scene, daemon, operator, end
                )
                rows = await scene.list_rows(daemon, "show config", operator)
                digests.add(tuple(sorted(row["digest"] for row in rows)))
            self.assertEqual(1, len(digests))

        self.run_scene(scenario)

    async def _has_applied(
        self, scene: scenarios.Scene, daemon: Any, operator: str, end: int
    ) -> bool:
        rows = await scene.list_rows(daemon, "show config", operator)
        return all(row["applied"] >= end for row in rows)


class OwnershipTest(scenarios.ScenarioTestCase):
    def test_a_change_to_the_other_partners_objects_is_forbidden(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            reply = await scene.ask(
                daemons[0], "set team lindqvist/counter weight=9"
            )
            self.assertEqual(_Code.FORBIDDEN, reply.read_json()["code"])

        self.run_scene(scenario)

    def test_a_change_forged_in_the_log_is_rejected_by_daemons(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            signer = scene.world.signer("lindqvist")
            kind = records.objects.Kind.TEAM
            forged = [
                records.Change(
                    partner,
                    "mallory",
                    f"forged-{partner}",
                    "serrana",
                    kind,
                    "counter",
                    1,
                    None,
                )
                for partner in ("lindqvist", "serrana")
            ]
            for change in forged:
                payload = records.encode_change(change, signer)
                scene.world.log.add("config", [payload])
            end = scene.world.log.list_records("config")[-1].offset

            async def has_applied() -> bool:
                rows = await scene.list_rows(daemons[0], "show config")
                return all(row["applied"] >= end for row in rows)

            await scene.wait_until(has_applied)
            reply = await scene.ask(daemons[0], "show teams serrana/counter")
            self.assertEqual(200, reply.status)

        self.run_scene(scenario)


class LostAnswerTest(scenarios.ScenarioTestCase):
    def test_a_change_whose_append_answer_was_lost_is_still_judged(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            scene.world.log.set_faults({"lose_answers": 1})
            reply = await scene.ask(daemons[0], "set team counter weight=7")
            self.assertEqual(200, reply.status)
            self.assertEqual(7, await _read_weight(scene, daemons[0]))

        self.run_scene(scenario)

    def test_the_same_change_id_sent_again_changes_nothing(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            text = 'create team helpers credential="sha256:' + "0" * 64 + '"'
            first = await scene.ask(daemons[0], text, change_id="change-7")
            repeated = await scene.ask(daemons[1], text, change_id="change-7")
            self.assertEqual(200, repeated.status)
            self.assertEqual(
                first.read_json()["version"], repeated.read_json()["version"]
            )

        self.run_scene(scenario)

    def test_a_refused_append_is_reported_as_not_made_and_never_appears(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            scene.world.log.set_faults({"down": True})
            reply = await scene.ask(daemons[0], "set team counter weight=7")
            self.assertEqual(_Code.CHANGE_NOT_MADE, reply.read_json()["code"])
            scene.world.log.set_faults({"down": False})
            done = await scene.ask(daemons[0], "set team counter weight=8")
            self.assertEqual(200, done.status)
            self.assertEqual(8, await _read_weight(scene, daemons[0]))

        self.run_scene(scenario)


class TruncatedLogTest(scenarios.ScenarioTestCase):
    def test_a_fresh_daemon_starts_from_a_snapshot_when_records_are_gone(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await self._publish_and_truncate(scene)
            fresh = await scene.world.start_daemon(
                partners.SERRANA, "serra-c", "entry-fresh"
            )
            await scene.wait_ready([fresh])
            self.assertEqual(5, await _read_weight(scene, fresh))

            async def hears_of_both() -> bool:
                rows = await scene.list_rows(fresh, "show config")
                return len({row["name"] for row in rows}) == 2

            await scene.wait_until(hears_of_both)
            rows = await scene.list_rows(fresh, "show config")
            # One digest for each partner, the same at both daemons.
            self.assertEqual(2, len({row["digest"] for row in rows}))

        self.run_scene(scenario)

    def test_a_stale_snapshot_published_late_is_ignored(self):
        async def scenario(scene: scenarios.Scene) -> None:
            stale = fold.create_state(["serrana", "lindqvist"])
            verifier = scene.world.verifier()
            kept = scene.world.log.list_records("config")
            for record in kept[:3]:
                fold.apply_record(
                    stale, record.offset, record.payload, verifier
                )
            await self._publish_and_truncate(scene)
            chunks = snapshot.encode_snapshot(
                stale.partners["serrana"], scene.world.signer("serrana")
            )
            scene.world.log.add("config-snapshots", chunks)
            fresh = await scene.world.start_daemon(
                partners.SERRANA, "serra-c", "entry-fresh"
            )
            await scene.wait_ready([fresh])
            self.assertEqual(5, await _read_weight(scene, fresh))

        self.run_scene(scenario)

    def test_a_fresh_daemon_with_the_log_down_starts_from_its_peers(self):
        async def scenario(scene: scenarios.Scene) -> None:
            older = await self._publish_and_truncate(scene)
            await scene.ask(older, "set team counter weight=6")
            scene.world.log.set_faults({"down": True})
            fresh = await scene.world.start_daemon(
                partners.SERRANA, "serra-c", "entry-fresh"
            )
            await scene.wait_ready([fresh])
            self.assertEqual(6, await _read_weight(scene, fresh))

        self.run_scene(scenario)

    def test_a_fresh_daemon_without_instance_list_and_log_starts_from_seeds(
        self,
    ):
        async def scenario(scene: scenarios.Scene) -> None:
            older = await self._publish_and_truncate(scene)
            scene.world.log.set_faults({"down": True})
            scene.world.instances.set_faults({"down": True})
            fresh = await scene.world.start_daemon(
                partners.SERRANA,
                "serra-c",
                "entry-fresh",
                seeds=[older.addresses.peers],
            )
            await scene.wait_ready([fresh])
            self.assertEqual(5, await _read_weight(scene, fresh))

        self.run_scene(scenario)

    async def _publish_and_truncate(
        self, scene: scenarios.Scene
    ) -> running.LocalDaemon:
        timing = {"snapshot_s": 0.2}
        own = await scene.start_daemons(partners.SERRANA, 1, timing=timing)
        await scene.start_daemons(partners.LINDQVIST, 1, timing=timing)
        await scene.ask(own[0], "set team counter weight=5")
        end = scene.world.log.list_records("config")[-1].offset

        async def has_snapshots() -> bool:
            buffer = snapshot.SnapshotBuffer(scene.world.verifier())
            for record in scene.world.log.list_records("config-snapshots"):
                buffer.add(record.payload)
            found = [state.applied for state in buffer.best.values()]
            return len(found) == 2 and min(found) >= end

        await scene.wait_until(has_snapshots)
        scene.world.log.truncate("config", end)
        return own[0]


class PartitionedZoneTest(scenarios.ScenarioTestCase):
    def test_a_zone_cut_from_the_platform_converges_through_its_peers(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 3)
            assert scene.world.network is not None
            scene.world.network.cut("serra-c", network.PLATFORM)
            reply = await scene.ask(daemons[0], "set team counter weight=4")
            self.assertEqual(200, reply.status)

            async def has_weight() -> bool:
                return await _read_weight(scene, daemons[2]) == 4

            await scene.wait_until(has_weight)

        self.run_scene(scenario, with_network=True)

    def test_a_suspended_daemon_catches_up_and_reverts_nothing(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_processes(
                partners.SERRANA, 2, timing={"snapshot_s": 0.2}
            )
            daemons[1].send_signal(signal.SIGSTOP)
            for weight in (2, 3, 4):
                await scene.ask(daemons[0], f"set team counter weight={weight}")
            daemons[1].send_signal(signal.SIGCONT)

            async def has_weight() -> bool:
                return await _read_weight(scene, daemons[1]) == 4

            await scene.wait_until(has_weight)
            # Time for the resumed daemon to publish several snapshots.
            await trio.sleep(1.0)
            for daemon in daemons:
                self.assertEqual(4, await _read_weight(scene, daemon))

        self.run_scene(scenario)

    def test_waiting_names_the_zones_that_have_not_reported(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(
                partners.SERRANA, 3, timing={"spread_s": 2.0}
            )
            reply = await scene.ask(
                daemons[0], "set team counter weight=4", wait=True
            )
            content = reply.read_json()
            self.assertEqual(_Code.ZONE_NOT_REPORTED, content["code"])
            for zone in partners.LINDQVIST.zones:
                self.assertIn(zone, content["message"])
            for zone in partners.SERRANA.zones:
                self.assertNotIn(zone, content["message"])

        self.run_scene(scenario)

    def test_waiting_ends_when_every_zone_has_reported(self):
        async def scenario(scene: scenarios.Scene) -> None:
            own = await scene.start_daemons(partners.SERRANA, 3)
            await scene.start_daemons(partners.LINDQVIST, 3)
            reply = await scene.ask(
                own[0], "set team counter weight=4", wait=True
            )
            self.assertEqual(200, reply.status)
            self.assertEqual(6, len(reply.read_json()["reported"]))

        self.run_scene(scenario)
