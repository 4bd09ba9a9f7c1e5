"""Callers that disconnect while their answer is awaited or streamed."""

from __future__ import annotations

import trio
import trio.testing

from martenquay_core.serving import catalog
from martenquay_standins.ports.runner import Script
from tests import disconnects, leaving

_BEGUN = Script(
    (disconnects.STREAM_HEAD + disconnects.build_event(1),), is_held=True
)


class WaitingTest(disconnects.DisconnectTestCase):
    def _play_held(
        self, script: Script, kind: catalog.CallKind, ahead: bytes = b""
    ) -> None:
        async def scenario(world: disconnects.World) -> None:
            caller = await world.call(disconnects.CALL + ahead)
            runner = world.scene.runners[0]
            await runner.heard.wait()
            spare = await world.add_runner(disconnects.GOOD)
            await trio.testing.wait_all_tasks_blocked()
            await world.leave(caller, runner.closed)
            self.assert_told(world, "waiting", connects=1)
            self.assertEqual([], spare.requests)

        self.play(scenario, script, kind=kind)

    def test_an_answer_that_does_not_come(self) -> None:
        self._play_held(disconnects.SILENT, catalog.CallKind.IDEMPOTENT)

    def test_an_answer_to_what_may_not_be_repeated(self) -> None:
        self._play_held(disconnects.SILENT, catalog.CallKind.NON_IDEMPOTENT)

    def test_half_a_plain_answer(self) -> None:
        half = (
            b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 9\r\n\r\na"
        )
        script = Script((half,), is_held=True)
        self._play_held(script, catalog.CallKind.IDEMPOTENT)

    def test_a_stream_without_a_head(self) -> None:
        self._play_held(disconnects.SILENT, catalog.CallKind.STREAM)

    def test_a_stream_without_an_event(self) -> None:
        script = Script((disconnects.STREAM_HEAD,), is_held=True)
        self._play_held(script, catalog.CallKind.STREAM)

    def test_a_byte_behind_the_request(self) -> None:
        self._play_held(disconnects.SILENT, catalog.CallKind.IDEMPOTENT, b"G")

    def test_more_behind_the_request_than_is_read_ahead(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            # A close is sent after all data, so that has to fit the receive
            # window; a reset is sent at once.
            size = 200_000 if world.is_reset else 100_000
            ahead = disconnects.POST % size + b"a" * size
            caller = await world.call(disconnects.CALL + ahead)
            runner = world.scene.runners[0]
            await runner.heard.wait()
            await trio.testing.wait_all_tasks_blocked()
            await world.leave(caller, runner.closed)
            self.assert_told(world, "waiting", connects=1)

        self.play(scenario, disconnects.SILENT)

    def test_the_question_whether_a_runner_is_there(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            world.connects.hangs_from = 1
            caller = await world.call()
            runner = world.scene.runners[0]
            await world.connects.hung.wait()
            await world.leave(caller, runner.closed)
            await world.connects.ended.wait()
            self.assert_told(world, "waiting", connects=2)

        self.play(scenario, disconnects.SILENT)


class StreamingTest(disconnects.DisconnectTestCase):
    def test_a_stream_that_has_begun(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            caller = await world.call()
            await disconnects.read_until(caller, b"token 1")
            spare = await world.add_runner(disconnects.GOOD)
            await world.leave(caller, world.scene.runners[0].closed)
            self.assert_told(world, "streaming", connects=1)
            self.assertEqual([], spare.requests)

        self.play(scenario, _BEGUN, kind=catalog.CallKind.STREAM)

    def test_a_caller_that_has_stopped_reading(self) -> None:
        big = [
            disconnects.build_event(n, b"a" * 1_000_000) for n in range(1, 40)
        ]
        script = Script((disconnects.STREAM_HEAD, *big), is_held=True)

        async def scenario(world: disconnects.World) -> None:
            caller = await world.call()
            runner = world.scene.runners[0]
            await runner.heard.wait()
            await trio.testing.wait_all_tasks_blocked(0.1)
            await world.leave(caller, runner.closed)
            self.assert_told(world, "streaming", connects=1)

        self.play(scenario, script, kind=catalog.CallKind.STREAM)

    def _play_resumed(self, second: Script, stage: str) -> None:
        """Disconnect while the second runner serves the stream."""

        async def scenario(world: disconnects.World) -> None:
            caller = await world.call()
            first = world.scene.runners[0]
            await disconnects.read_until(caller, b"token 1")
            runner = await world.add_runner(second)
            first.close_held_connections()
            await runner.heard.wait()
            if stage == "streaming":
                await disconnects.read_until(caller, b"token 2")
            await trio.testing.wait_all_tasks_blocked()
            spare = await world.add_runner(disconnects.GOOD)
            await world.leave(caller, runner.closed)
            self.assert_told(world, stage, connects=2)
            self.assertEqual([], spare.requests)

        self.play(scenario, _BEGUN, kind=catalog.CallKind.STREAM)

    def test_a_second_runner_that_has_said_nothing(self) -> None:
        self._play_resumed(disconnects.SILENT, "waiting")

    def test_a_second_runner_in_mid_stream(self) -> None:
        rest = Script(
            (disconnects.STREAM_HEAD + disconnects.build_event(2),),
            is_held=True,
        )
        self._play_resumed(rest, "streaming")

    def test_a_stream_between_its_two_runners(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            world.connects.hangs_from = 1
            caller = await world.call()
            await disconnects.read_until(caller, b"token 1")
            second = await world.add_runner(disconnects.GOOD)
            world.scene.runners[0].close_held_connections()
            await world.connects.hung.wait()
            await world.leave(caller, world.connects.ended)
            self.assert_told(world, "connecting", connects=2)
            self.assertEqual(1, world.log.lines[0]["events"])
            self.assertEqual([], second.requests)

        self.play(scenario, _BEGUN, kind=catalog.CallKind.STREAM)

    def test_a_break_at_the_moment_of_leaving(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            caller = await world.call()
            await disconnects.read_until(caller, b"token 1")
            second = await world.add_runner(disconnects.GOOD)
            world.scene.runners[0].close_held_connections()
            await world.leave(caller)
            self.assertEqual(1, len(world.log.lines))
            self.assertEqual([b""] * len(second.requests), second.requests)

        self.play(scenario, _BEGUN, kind=catalog.CallKind.STREAM)


class StayingTest(disconnects.DisconnectTestCase):
    def test_a_caller_that_stays_is_not_taken_as_gone(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            ahead = disconnects.POST % 200_000 + b"a" * 200_000
            caller = await world.call(disconnects.CALL)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.send_all, ahead)
                for _ in range(2):
                    await disconnects.read_until(caller, b"fine")
            self.assertEqual([], world.log.lines)

        self.play(scenario, disconnects.GOOD)

    def test_a_daemon_that_stops_does_not_say_that_its_caller_left(
        self,
    ) -> None:
        async def scenario(world: disconnects.World) -> None:
            held.append(await world.call())
            await world.scene.runners[0].heard.wait()

        # Keeps a reference, else the connection would be closed.
        held: list[trio.SocketStream] = []
        with leaving.open_departure_log() as log:
            self.play(scenario, disconnects.SILENT)
            self.assertEqual([], log.lines)
