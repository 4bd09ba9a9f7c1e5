"""Answers that are held together make room for each other, largest first."""

from __future__ import annotations

import socket

import trio

from martenquay_daemon.limits import caller_budget
from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_scene

_CAPACITY_BYTES = 300_000
_LARGE = bytes(200_000)
# Of a large answer, without what needs no room.
_MOST_BYTES = len(_LARGE) - 20_000
_CALL = case.CALL % (b"GET /lookup/7", 5000)
_LARGE_ANSWER = case.build_answer(200, _LARGE, case.SEAL)
_FAILURE = case.build_answer(500, _LARGE, case.SEAL)
# All but the last byte, so that it is held until the deadline.
_UNFINISHED = Script((_LARGE_ANSWER[:-1],), is_held=True)
_WHOLE = Script((_LARGE_ANSWER,))
# More than both kernels hold of an answer that its caller does not read.
_UNREAD = bytes(4_000_000)
_RECEIVE_BUFFER_BYTES = 8192


class HeldAnswersTest(case.ForwarderTestCase):
    attempts = 1

    def _ask_two(
        self, *scripts: list[Script]
    ) -> tuple[list[serving_scene.Reply], int]:
        """Ask, and again once the first answer is held; return the replies.

        The second value is what the budget counts after both.
        """
        replies: list[serving_scene.Reply] = []
        used: list[int] = []

        async def scenario(scene: serving_scene.Scene) -> None:
            budget = scene.parts.answer_budget
            budget.capacity_bytes = _CAPACITY_BYTES
            async with trio.open_nursery() as nursery:

                async def ask_first() -> None:
                    replies.append(await scene.ask(_CALL))

                nursery.start_soon(ask_first)
                while budget.used_bytes < _MOST_BYTES:
                    await trio.sleep(0.005)
                second = await scene.ask(_CALL)
            replies.append(second)
            used.append(budget.used_bytes)

        self.run_scene(scenario, *scripts)
        return replies, used[0]

    def test_the_one_that_is_held_for_longest_is_given_up(self) -> None:
        (first, second), used_bytes = self._ask_two([_UNFINISHED, _WHOLE])
        self.assertEqual((502, True), (first.status, first.is_whole))
        self.assertNotIn(b"retry-after", first.headers)
        self.assertEqual((200, _LARGE), (second.status, second.body))
        self.assertEqual(0, used_bytes)

    def test_one_alone_may_hold_more(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            scene.parts.answer_budget.capacity_bytes = 1000
            reply = await scene.ask(_CALL)
            self.assertEqual((200, _LARGE), (reply.status, reply.body))
            self.assertEqual(0, scene.parts.answer_budget.used_bytes)

        self.run_scene(scenario, [_WHOLE])

    def test_a_whole_answer_that_makes_room_before_it_is_sent_gets_502(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            budget = scene.parts.answer_budget
            budget.capacity_bytes = _CAPACITY_BYTES
            other = caller_budget.Holding(lambda: None)

            async def take_all_room(*_: object) -> None:
                await trio.lowlevel.checkpoint()
                budget.resize(other, 2 * _CAPACITY_BYTES)

            # Called between the end of an attempt and the delivery.
            self.patch(scene.parts.quarantine, "note_result", take_all_room)
            reply = await scene.ask(_CALL)
            self.assertEqual((502, True), (reply.status, reply.is_whole))
            budget.resize(other, 0)
            self.assertEqual(0, budget.used_bytes)

        self.run_scene(scenario, [_WHOLE])

    def test_an_answer_that_its_caller_does_not_read_is_cut_off(self) -> None:
        answer = case.build_answer(200, _UNREAD, case.SEAL)

        async def scenario(scene: serving_scene.Scene) -> None:
            budget = scene.parts.answer_budget
            budget.capacity_bytes = len(_UNREAD)
            host, _, port = scene.address.rpartition(":")
            sock = trio.socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            await sock.connect((host, int(port)))
            async with trio.SocketStream(sock) as stream:
                await stream.send_all(_CALL)
                while budget.used_bytes < len(_UNREAD) - 20_000:
                    await trio.sleep(0.005)
                reply = await scene.ask(_CALL)
                self.assertEqual((200, _LARGE), (reply.status, reply.body))
                reply = await serving_scene.read_reply(stream)
                self.assertEqual(200, reply.status)
                self.assertFalse(reply.is_whole)
            self.assertEqual(0, budget.used_bytes)

        self.run_scene(scenario, [Script((answer,)), _WHOLE])


class RepeatedCallTest(case.ForwarderTestCase):
    """With another runner that a call may be repeated at."""

    def _run_in_need(
        self,
        first: Script,
        second: Script,
        *,
        waits_for_second: bool = False,
    ) -> serving_scene.Reply:
        """Take all room while an answer is held; return the caller's reply.

        Args:
            first: What the runner plays that gets the call first.
            second: What the other one plays.
            waits_for_second: The other one gets the call before that.
        """
        replies: list[serving_scene.Reply] = []

        async def scenario(scene: serving_scene.Scene) -> None:
            budget = scene.parts.answer_budget
            budget.capacity_bytes = _CAPACITY_BYTES
            other = caller_budget.Holding(lambda: None)
            async with trio.open_nursery() as nursery:

                async def ask() -> None:
                    replies.append(await scene.ask(_CALL))

                nursery.start_soon(ask)
                while not any(one.requests for one in scene.runners):
                    await trio.sleep(0.005)
                for runner in scene.runners:
                    runner.replace_scripts([second])
                if first.resume is not None:
                    first.resume.set()
                while not budget.used_bytes or (
                    waits_for_second
                    and not all(one.requests for one in scene.runners)
                ):
                    await trio.sleep(0.005)
                budget.resize(other, _CAPACITY_BYTES)
                budget.resize(other, 0)
                if second.resume is not None:
                    second.resume.set()
            self.assertEqual(0, budget.used_bytes)

        self.run_scene(scenario, [first], [first])
        return replies[0]

    def test_an_answer_that_made_room_is_asked_for_elsewhere(self) -> None:
        reply = self._run_in_need(_UNFINISHED, _WHOLE)
        self.assertEqual((200, _LARGE), (reply.status, reply.body))

    def test_a_failure_that_is_kept_makes_room(self) -> None:
        # Without the failure, the answer is that the second one was lost.
        failed = Script((b"", _FAILURE), resume=trio.Event())
        broken = Script((b"", b""), resume=trio.Event(), is_reset=True)
        reply = self._run_in_need(failed, broken, waits_for_second=True)
        self.assertEqual((502, True), (reply.status, reply.is_whole))

    def test_a_failure_that_is_kept_is_returned_if_there_is_room(self) -> None:
        reply, _ = self.ask_once([Script((_FAILURE,))], [Script((_FAILURE,))])
        self.assertEqual((500, _LARGE), (reply.status, reply.body))
