"""After the store is restored from an older copy, nothing newer is missed."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.util import http
from martenquay_daemon.discovery import contact, keyed_follower
from martenquay_platform import log
from martenquay_platform_standins import store
from martenquay_standins import host, loopback

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from martenquay_core.serving import ports

_HANG_S = 20.0
_TOPIC = "keyed.op"
# A change is in force this soon after the store has taken it.
_APPLY_S = 2.0
_POLL_S = 0.5


class _Sink:
    """Keeps the newest value of each key."""

    def __init__(self) -> None:
        self.values: dict[str, bytes | None] = {}

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Keep the values of a snapshot."""
        self.values = {one.key: one.value for one in snapshot.records}

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Keep the value of a record."""
        self.values[record.key] = record.value


@dataclasses.dataclass
class _Scene:
    """A stand-in for the store and a follower of one of its topics.

    Attributes:
        platform: The store.
        log: The client that the follower uses.
        sink: What the follower has read.
    """

    platform: store.StoreStandIn
    log: log.PlatformLog
    sink: _Sink

    async def put(self, *keys: str) -> None:
        """Append one record for each key."""
        for key in keys:
            self.platform.log.put(_TOPIC, key, b"value of " + key.encode())

    async def wait_for(self, key: str) -> bool:
        """Return whether the follower reads a key in time."""
        with trio.move_on_after(_APPLY_S):
            while key not in self.sink.values:
                await trio.sleep(0.01)
        return key in self.sink.values


@contextlib.asynccontextmanager
async def _open_scene() -> AsyncIterator[_Scene]:
    with trio.fail_after(_HANG_S):
        async with trio.open_nursery() as nursery:
            platform = store.StoreStandIn(lambda *_, **__: None)
            running = await host.start_stand_in(
                nursery, platform, loopback.create_address()
            )
            async with http.open_client(resets=True) as client:
                scene = _Scene(
                    platform, log.create_log(client, running.address), _Sink()
                )
                follower = keyed_follower.KeyedFollower(
                    scene.log,
                    contact.LogContact(),
                    _TOPIC,
                    scene.sink,
                    keyed_follower.ReadSchedule(wait_s=_POLL_S),
                )
                nursery.start_soon(follower.run)
                yield scene
            nursery.cancel_scope.cancel()


class StoreRestoreTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            async with _open_scene() as scene:
                await scenario(scene)

        trio.run(run)

    def test_a_change_after_a_restore_is_read_in_time(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await scene.put(*(f"a{n}" for n in range(8)))
            older = scene.platform.log.take_copy()
            await scene.put(*(f"b{n}" for n in range(12)))
            self.assertTrue(await scene.wait_for("b11"))
            scene.platform.log.restore(older)
            await scene.put("c")
            self.assertTrue(await scene.wait_for("c"))

        self._run(scenario)

    def test_changes_are_read_though_the_log_has_grown_past_its_old_end(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            await scene.put("a")
            older = scene.platform.log.take_copy()
            await scene.put("b0", "b1")
            self.assertTrue(await scene.wait_for("b1"))
            scene.platform.faults.down = True
            # Until the read that waits for a record has ended.
            await trio.sleep(1.2 * _POLL_S)
            scene.platform.log.restore(older)
            await scene.put("c0", "c1", "c2")
            scene.platform.faults.down = False
            self.assertTrue(await scene.wait_for("c2"))
            self.assertIn("c0", scene.sink.values)
            self.assertIn("c1", scene.sink.values)

        self._run(scenario)

    def test_a_restored_store_is_not_read_without_pause(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await scene.put(*(f"a{n}" for n in range(8)))
            older = scene.platform.log.take_copy()
            await scene.put("b")
            self.assertTrue(await scene.wait_for("b"))
            scene.platform.log.restore(older)
            calls = scene.platform.log.calls
            await trio.sleep(1.0)
            self.assertLess(scene.platform.log.calls - calls, 10)

        self._run(scenario)
