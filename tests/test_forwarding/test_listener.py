"""A graceful stop answers the requests that were sent before it."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING
from unittest import mock

import testtools
import trio
import trio.testing

from martenquay_core.settings import gateway
from martenquay_daemon.forwarding import (
    caller_connection,
    connection_limit,
    forwarder,
    listener,
)
from martenquay_platform import codec
from martenquay_standins import loopback
from martenquay_standins.ports import runner as scripted
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 30.0
# The waits of a stop take 0.25 s; the rest allows for a busy machine.
_STOP_S = 1.5
_GOOD = scripted.Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\nfine",)
)
_CALL = b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n\r\n"


def _connect(address: str) -> socket.socket:
    """Connect without letting the listener's task run."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


def _wrap(sock: socket.socket) -> trio.SocketStream:
    sock.setblocking(False)
    return trio.SocketStream(trio.socket.from_stdlib_socket(sock))


class StopTest(testtools.TestCase):
    def _run(
        self,
        scenario: Callable[
            [listener.CallerListener, str, trio.Event], Awaitable[None]
        ],
    ) -> None:
        async def run() -> None:
            content = builders.build_catalog()
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(content, [_GOOD]) as scene:
                    await self._serve(scene, scenario)

        trio.run(run)

    async def _serve(self, scene: serving_scene.Scene, scenario) -> None:
        caller_listener = listener.CallerListener(
            loopback.create_address(),
            lambda: scene.store.table.catalog.limits,
            codec.create_codec(),
            forwarder.Forwarder(scene.parts),
            connection_limit.create_room(gateway.ResourceSettings()),
        )
        ended = trio.Event()

        async def serve(
            *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
        ) -> None:
            await caller_listener.run(task_status=task_status)
            ended.set()

        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve)
            await scenario(caller_listener, address, ended)
            nursery.cancel_scope.cancel()

    async def _check_answer(self, caller: trio.SocketStream) -> None:
        reply = await serving_scene.read_reply(caller)
        self.assertEqual((200, b"fine"), (reply.status, reply.body))
        self.assertTrue(reply.is_whole)
        self.assertEqual(b"close", reply.headers[b"connection"])

    def test_connections_in_the_accept_queue_are_answered(self) -> None:
        async def scenario(caller_listener, address, ended) -> None:
            del ended
            callers = [_connect(address) for _ in range(20)]
            for caller in callers:
                caller.sendall(_CALL)
            caller_listener.stop_accepting()
            for caller in callers:
                async with _wrap(caller) as stream:
                    await self._check_answer(stream)

        self._run(scenario)

    def test_a_daemon_that_is_busy_for_the_whole_drain_accepts_them_too(
        self,
    ) -> None:
        async def scenario(caller_listener, address, ended) -> None:
            del ended
            caller_listener.stop_accepting()
            await trio.testing.wait_all_tasks_blocked()
            callers = [_connect(address) for _ in range(20)]
            for caller in callers:
                caller.sendall(_CALL)
            # Block the event loop until the drain is over.
            until = trio.current_time() + 2 * listener._ACCEPT_DRAIN_S
            while trio.current_time() < until:
                pass
            for caller in callers:
                async with _wrap(caller) as stream:
                    await self._check_answer(stream)

        self._run(scenario)

    def test_an_unread_request_on_an_idle_connection_is_answered(
        self,
    ) -> None:
        async def scenario(caller_listener, address, ended) -> None:
            del ended
            sock = _connect(address)
            async with _wrap(sock) as stream:
                await stream.send_all(_CALL)
                await serving_scene.read_reply(stream)
                await trio.testing.wait_all_tasks_blocked()
                sock.sendall(_CALL)
                caller_listener.stop_accepting()
                await self._check_answer(stream)

        self._run(scenario)

    def test_a_connection_that_cannot_be_served_costs_only_itself(
        self,
    ) -> None:
        create = caller_connection.CallerConnection
        faults = [OSError(errno.ENOBUFS, "No buffer space available")]

        def fail_once(*args):
            if faults:
                raise faults.pop()
            return create(*args)

        async def scenario(caller_listener, address, ended) -> None:
            del caller_listener, ended
            async with _wrap(_connect(address)) as served:
                await trio.testing.wait_all_tasks_blocked()
                with mock.patch.object(
                    caller_connection, "CallerConnection", fail_once
                ):
                    async with _wrap(_connect(address)) as failed:
                        self.assertEqual(b"", await failed.receive_some(10))
                    async with _wrap(_connect(address)) as stream:
                        await stream.send_all(_CALL)
                        reply = await serving_scene.read_reply(stream)
                        self.assertEqual(200, reply.status)
                await served.send_all(_CALL)
                reply = await serving_scene.read_reply(served)
                self.assertEqual(200, reply.status)

        self._run(scenario)

    def test_the_listener_ends_and_new_connections_are_refused(self) -> None:
        async def scenario(caller_listener, address, ended) -> None:
            idle_socket = _connect(address)
            await trio.testing.wait_all_tasks_blocked()
            stopped_at = trio.current_time()
            caller_listener.stop_accepting()
            # An idle connection may hold an unread request.
            self.assertGreater(caller_listener.count_busy(), 0)
            async with _wrap(idle_socket) as stream:
                self.assertEqual(b"", await stream.receive_some(10))
            while caller_listener.count_busy():
                await trio.sleep(0.005)
            took_s = trio.current_time() - stopped_at
            await ended.wait()
            self.assertLess(took_s, _STOP_S)
            with self.assertRaises(ConnectionRefusedError):
                _connect(address).close()

        self._run(scenario)
