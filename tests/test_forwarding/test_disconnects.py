"""Callers that disconnect before a runner has their whole request."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from unittest import mock

import trio
import trio.testing

from martenquay_daemon.forwarding import attempt, forwarder, silence_limits
from tests import disconnects, leaving
from tests import serving_builders as builders

if TYPE_CHECKING:
    from martenquay_core.serving import calls

# More than the socket buffers and the daemon hold.
_BEYOND_BUFFERS = 3_000_000


class UnreadTest(disconnects.DisconnectTestCase):
    def test_half_a_head(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            caller = await world.call(disconnects.CALL[:-2])
            await trio.testing.wait_all_tasks_blocked()
            await world.leave(caller)
            self.assertEqual("reading", world.log.lines[0]["stage"])
            self.assertEqual([], world.connects.addresses)

        self.play(scenario, disconnects.GOOD)

    def test_half_a_body(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            caller = await world.call(disconnects.POST % 1000 + b"a" * 500)
            await trio.testing.wait_all_tasks_blocked()
            await world.leave(caller)
            self.assert_told(world, "reading", connects=0)

        self.play(scenario, disconnects.GOOD)

    def test_half_a_chunked_body(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            head = b"POST /lookup/7 HTTP/1.1\r\n" + disconnects.CALL_HEADERS
            raw = head + b"transfer-encoding: chunked\r\n\r\n1f4\r\naaa"
            caller = await world.call(raw)
            await trio.testing.wait_all_tasks_blocked()
            await world.leave(caller)
            self.assert_told(world, "reading", connects=0)

        self.play(scenario, disconnects.GOOD)

    def test_a_request_that_is_read_after_its_caller_left(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            host, _, port = world.scene.address.rpartition(":")
            # No checkpoint in between, so the daemon reads it after the close.
            sock = socket.create_connection((host, int(port)))
            sock.sendall(disconnects.CALL)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
            await world.leave(stream)
            self.assert_told(world, "queued", connects=0)

        self.play(scenario, disconnects.GOOD)

    def test_a_request_behind_one_whose_caller_left(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            caller = await world.call(disconnects.CALL + disconnects.CALL)
            runner = world.scene.runners[0]
            await runner.heard.wait()
            await world.leave(caller, runner.closed)
            self.assert_told(world, "waiting", connects=1)

        self.play(scenario, disconnects.SILENT)


class QueuedTest(disconnects.DisconnectTestCase):
    def test_a_request_that_waits_its_turn(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            waits, ended = trio.Event(), trio.Event()

            async def wait_turn(*_: object) -> None:
                waits.set()
                try:
                    await trio.sleep_forever()
                finally:
                    ended.set()

            with mock.patch.object(
                world.scene.parts.attempts, "make", wait_turn
            ):
                caller = await world.call()
                await waits.wait()
                await world.leave(caller, ended)
            self.assert_told(world, "queued", connects=0)

        self.play(scenario, disconnects.GOOD)

    def test_nothing_is_tried_for_a_caller_that_is_gone(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            writer = _GoneWriter()
            handler = forwarder.Forwarder(world.scene.parts)
            call = builders.build_call()
            await handler.handle(call, trio.current_time(), writer)
            self.assert_told(world, "queued", connects=0)

        self.play(scenario, disconnects.GOOD)


class ConnectingTest(disconnects.DisconnectTestCase):
    def test_a_close_that_came_while_a_connection_came_up(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            handler = forwarder.Forwarder(world.scene.parts)
            call = builders.build_call()
            writer = _GoneWriter(stays=1)
            await handler.handle(call, trio.current_time(), writer)
            await trio.testing.wait_all_tasks_blocked()
            self.assert_told(world, "connecting", connects=1)
            self.assertEqual([b""], world.scene.runners[0].requests)

        self.play(scenario, disconnects.GOOD)

    def test_a_connection_that_does_not_come_up(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            with (
                leaving.listen_with_full_backlog() as (listener, address),
                mock.patch.object(
                    attempt, "_CONNECT_TIMEOUT_S", disconnects.LONG_S
                ),
            ):
                world.scene.add_runner(address)
                caller = await world.call()
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual([address], world.connects.addresses)
                await world.leave(caller)
                self.assert_told(world, "connecting", connects=1)
                # The accept queue holds only the connection that filled it.
                listener.accept()[0].close()
                self.assertRaises(BlockingIOError, listener.accept)

        self.play(scenario)

    def test_the_second_runners_connection(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            world.connects.hangs_from = 1
            # A slow test run would probe the first runner, and the probe would
            # be the connection that hangs.
            with mock.patch.object(
                silence_limits, "_CALL_PROBE_AFTER_S", disconnects.LONG_S
            ):
                caller = await world.call()
                first = world.scene.runners[0]
                await first.heard.wait()
                second = await world.add_runner(disconnects.GOOD)
                first.close_held_connections()
                await world.connects.hung.wait()
                await world.leave(caller, world.connects.ended)
            self.assert_told(world, "connecting", connects=2)
            self.assertEqual([], second.requests)

        self.play(scenario, disconnects.SILENT)


class SendingTest(disconnects.DisconnectTestCase):
    def test_a_runner_that_does_not_read(self) -> None:
        async def scenario(world: disconnects.World) -> None:
            with leaving.listen_unread() as (listener, address):
                world.scene.add_runner(address)
                body = b"a" * _BEYOND_BUFFERS
                caller = await world.call(disconnects.POST % len(body) + body)
                await trio.testing.wait_all_tasks_blocked(0.1)
                runner, _ = listener.accept()
                await world.leave(caller)
                with trio.fail_after(leaving.CANCEL_LIMIT_S):
                    size = await leaving.read_to_end(runner)
                self.assertLess(size, len(body))
                # Probes of the silent runner connect but send nothing.
                asked = len(world.connects.addresses) - 1
                for _ in range(asked):
                    probe, _ = listener.accept()
                    self.assertEqual(0, await leaving.read_to_end(probe))
            self.assert_told(world, "sending", connects=1 + asked)

        self.play(scenario)


class _GoneWriter:
    """Writer of a caller whose close has arrived but was not read yet."""

    has_started = False

    def __init__(self, stays: int = 0) -> None:
        """Set how many checks still find the caller connected."""
        self._stays = stays

    @property
    def has_disconnected(self) -> bool:
        self._stays -= 1
        return self._stays < 0

    async def start(
        self, status: int, headers: calls.Headers, length: int | None
    ) -> None:
        raise trio.BrokenResourceError

    async def write(self, data: bytes) -> None:
        raise trio.BrokenResourceError

    async def finish(self) -> None:
        raise trio.BrokenResourceError

    def abort(self) -> None:
        pass
