"""Outdated entries are refreshed before use, so draining runners get nothing.

A daemon that leaves reading the log to a hub must notice how old the hub's
copy is, else it sends requests to a runner that drains.
"""

from __future__ import annotations

import testtools
import trio

from martenquay_standins.ports import runner
from tests import serving_builders as builders
from tests import serving_scene

_REQUEST = b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n\r\n"
_OK = runner.Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s1\r\ncontent-length: 2\r\n\r\nok",)
)
_ASKS = 12
# Older than entries may be when they are used.
_OLD_S = 2.6


class OldEntriesTest(testtools.TestCase):
    def test_entries_that_no_hub_confirms_are_read_before_they_are_used(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            age = scene.follower.copy_age
            age.confirmed_at = trio.current_time() - _OLD_S
            scene.put_leaving_entry(0)
            for _ in range(_ASKS):
                reply = await scene.ask(_REQUEST)
                self.assertEqual(200, reply.status)
            self.assertEqual(0, len(scene.runners[0].requests))

        self._run(scenario)

    def test_entries_serve_on_while_the_log_is_out_of_reach(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            age = scene.follower.copy_age
            age.confirmed_at = trio.current_time() - _OLD_S
            scene.log.faults.is_silent = True
            with trio.fail_after(2.0):
                for _ in range(_ASKS):
                    reply = await scene.ask(_REQUEST)
                    self.assertEqual(200, reply.status)

        self._run(scenario)

    def _run(self, scenario) -> None:
        async def run() -> None:
            content = builders.build_catalog()
            async with serving_scene.open_scene(content, [_OK], [_OK]) as scene:
                await scenario(scene)

        trio.run(run)
