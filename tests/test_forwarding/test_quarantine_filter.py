"""Only a crash of a runner is recorded against the content it served."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.serving import calls as serving_calls
from martenquay_core.serving import catalog
from martenquay_daemon.quarantine import contents, records
from martenquay_standins.ports import runner as scripted
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 30.0
_REQUEST = (
    b"GET /lookup/%d HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: call-1\r\n\r\n"
)
_SAME = _REQUEST % 0
_GOOD = scripted.Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s1\r\ncontent-length: 2\r\n\r\nok",)
)
_HELD = scripted.Script(is_held=True)
_SPOILED = scripted.Script((b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\na",))
_RESET = scripted.Script(is_reset=True)
_PROMPT = _SAME[:-2] + b"prefix-hash: a1:100,own:50\r\n\r\n"
(_PART,) = contents.digest_parts(
    serving_calls.Call(
        "",
        "GET",
        "/",
        "",
        [],
        prompt=(
            serving_calls.PromptPart("a1", 100),
            serving_calls.PromptPart("own", 50),
        ),
    ),
    "desk",
)
_CRASH = records.CrashDetails("desk", "lookup")


def _stream(events: int) -> bytes:
    """Return the head and the first events of a stream."""
    head = (
        b"HTTP/1.1 200 OK\r\nserver-seal: s1\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    chunks = [b"id: %d\ndata: x\n\n" % n for n in range(1, events + 1)]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)


class QuarantineFilterTest(testtools.TestCase):
    def test_a_runner_that_spoils_answers_strikes_nothing(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            for number in range(5):
                await scene.ask(_REQUEST % number)
            self.assertTrue(scene.quarantine.is_empty)

        self._run(scenario, [_SPOILED], [_RESET])

    def test_a_runner_that_said_that_it_leaves_strikes_nothing(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.ask, _REQUEST % 1)
                await scene.runners[0].heard.wait()
                scene.put_leaving_entry(0)
                await scene.follower.read_now()
                scene.runners[0].crash()
            self.assertTrue(scene.quarantine.is_empty)

        self._run(scenario, [_HELD])

    def test_one_that_runs_beside_a_crash_is_answered_and_freed(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            replies = await self._lose_runners(scene, _REQUEST, 6)
            self.assertEqual({200}, {reply.status for reply in replies})
            self.assertTrue(scene.quarantine.is_empty)

        self._run(scenario, [_HELD])

    def test_a_part_is_struck_unless_its_answer_has_begun(self) -> None:
        for events, strikes in ((0, 1), (2, 1), (3, 0)):

            async def scenario(
                scene: serving_scene.Scene,
                events: int = events,
                strikes: int = strikes,
            ) -> None:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(scene.ask, _PROMPT)
                    await scene.runners[0].heard.wait()
                    await trio.sleep(0.1)
                    scene.runners[0].crash()
                self.assertEqual(
                    (events, strikes),
                    (events, scene.quarantine.find_latest(_PART)),
                )

            held = scripted.Script((_stream(events),), is_held=True)
            self._run(scenario, [held], kind=catalog.CallKind.STREAM)

    def test_a_failure_of_a_runner_clears_no_part(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            for status, strikes in ((b"500", 1), (b"200", 0)):
                scene.quarantine.note_crash(_PART, 0, "runner-9", _CRASH)
                answer = _GOOD.pieces[0].replace(b"200", status)
                scene.runners[0].replace_scripts([scripted.Script((answer,))])
                await scene.ask(_PROMPT)
                await trio.sleep(0.05)
                self.assertEqual(strikes, scene.quarantine.find_latest(_PART))

        self._run(scenario, [_GOOD])

    def test_what_many_ask_for_is_served_after_all_its_runners_end(
        self,
    ) -> None:
        # Runners that end at the same time are no evidence against a content.
        async def scenario(scene: serving_scene.Scene) -> None:
            replies = await self._lose_runners(scene, _SAME, 60)
            for reply in replies:
                self.assertNotIn(b"3007", reply.body)
            # Sent after all others were answered, which clears the records.
            self.assertEqual(200, replies[-1].status)
            self.assertTrue(scene.quarantine.is_empty)

        self._run(scenario, *[[_HELD]] * 6)

    async def _lose_runners(
        self, scene: serving_scene.Scene, requests: bytes, count: int
    ) -> list[serving_scene.Reply]:
        """Send requests, crash all their runners at once, add a good one."""
        replies: list[serving_scene.Reply] = []

        async def ask(number: int) -> None:
            raw = requests % number if b"%d" in requests else requests
            replies.append(await scene.ask(raw))

        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as callers:
                for number in range(count):
                    callers.start_soon(ask, number)
                while _count_requests(scene) < count:
                    await trio.sleep(0.01)
                good = scripted.ScriptedRunner([_GOOD])
                await nursery.start(good.run)
                scene.add_runner(good.address)
                for runner in scene.runners:
                    runner.crash()
            for number in range(len(scene.runners)):
                scene.drop_entry(number)
            await ask(0)
            nursery.cancel_scope.cancel()
        return replies

    def _run(
        self,
        scenario: Callable[[serving_scene.Scene], Awaitable[None]],
        *scripts: list[scripted.Script],
        kind: catalog.CallKind = catalog.CallKind.IDEMPOTENT,
    ) -> None:
        route = builders.build_route(kind=kind)

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(
                    builders.build_catalog(routes=(route,)), *scripts
                ) as scene:
                    await scenario(scene)

        trio.run(run)


def _count_requests(scene: serving_scene.Scene) -> int:
    return sum(len(runner.requests) for runner in scene.runners)
