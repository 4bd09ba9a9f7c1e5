"""A relay copies both directions and tells an end from a reset."""

from __future__ import annotations

import contextlib
import errno
import socket
from unittest import mock

import testtools
import trio
import trio.testing

from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_daemon.relay import tunnel
from martenquay_standins import loopback
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import relay_builders, write_first_stream

_HANG_S = 20.0
_POLL_S = 0.01
_REQUEST = connections.RunnerRequest("GET", "/a", [(b"host", b"a")])
_UPLOAD_BODY = bytes(write_first_stream.MIN_BODY_BYTES)
_UPLOAD = connections.RunnerRequest(
    "POST",
    "/a",
    [(b"host", b"a"), (b"content-length", b"%d" % len(_UPLOAD_BODY))],
    _UPLOAD_BODY,
)
_UNSIZED = b"HTTP/1.1 200 OK\r\n\r\n"
_BODY = b"x" * 300_000


class RelayServerTest(testtools.TestCase):
    def _run(self, scenario, script: Script, **options) -> None:
        """Run a scenario with one relay and one scripted runner."""

        async def run() -> None:
            runner = scripted.ScriptedRunner([script])
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(runner.run)
                    async with relay_builders.open_relay_scene(
                        **options
                    ) as scene:
                        await scenario(scene, runner)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def _open(self, scene: relay_builders.RelayScene, address: str):
        async def open_stream(
            address: str, timeout_s: float, max_use_s: float
        ) -> connections.OpenedStream:
            relay = scene.addresses[0]
            stream = await tunnel.open_tunnel(
                relay, address, timeout_s, max_use_s
            )
            return connections.OpenedStream(stream, open_stream, relay)

        return connections.connect_runner(address, 1.0, opener=open_stream)

    async def _read_body(self, scene, runner, request=_REQUEST) -> bytes:
        async with self._open(scene, runner.address) as connection:
            # The runner may answer before it has read the request.
            with contextlib.suppress(connections.BrokenAnswerError):
                await connection.send_request(request)
            await connection.read_head()
            return await connection.read_body()

    def test_an_answer_without_length_ends_with_the_runners_close(
        self,
    ) -> None:
        async def scenario(scene, runner) -> None:
            self.assertEqual(_BODY, await self._read_body(scene, runner))

        self._run(scenario, Script((_UNSIZED, _BODY)))

    def test_a_request_for_a_tunnel_without_end_is_closed(self) -> None:
        async def scenario(scene, runner) -> None:
            host, _, port = scene.addresses[0].rpartition(":")
            for first, piece in (
                (b"CONNECT %s HTTP/1.1\r\nx: ", b"x" * 65_536),
                (b"CONNECT %s HTTP/1.1\r\n", b"x: x\r\n" * 10_000),
                (b"", b"\r\n" * 30_000),
                (
                    b"CONNECT %s HTTP/1.1\r\nhost: a\r\n"
                    b"transfer-encoding: chunked\r\n\r\n",
                    b"1\r\nx\r\n" * 10_000,
                ),
            ):
                stream = await trio.open_tcp_stream(host, int(port))
                address = runner.address.encode()
                with trio.fail_after(2.0):
                    async with stream:
                        try:
                            await stream.send_all(first.replace(b"%s", address))
                            while True:
                                await stream.send_all(piece)
                        except trio.BrokenResourceError:
                            continue

        self._run(scenario, Script(is_held=True))

    def test_a_reset_by_the_runner_does_not_complete_an_answer(self) -> None:
        async def scenario(scene, runner) -> None:
            await self._assert_broken(scene, runner)

        self._run(scenario, Script((_UNSIZED, b"ab"), is_reset=True))

    def test_a_reset_during_an_upload_does_not_complete_an_answer(
        self,
    ) -> None:
        async def open_stream(
            address: str, *limits_s: float
        ) -> connections.OpenedStream:
            # Of the relay, whose connection to the runner writes first.
            if address in runner_addresses:
                return await write_first_stream.open_stream(address, *limits_s)
            return await open_direct(address, *limits_s)

        async def scenario(scene, runner) -> None:
            runner_addresses.add(runner.address)
            with mock.patch.object(connections, "open_stream", open_stream):
                await self._assert_broken(scene, runner, _UPLOAD)

        open_direct = connections.open_stream
        runner_addresses: set[str] = set()
        self._run(scenario, Script((_UNSIZED, b"ab"), is_reset=True))

    async def _assert_broken(self, scene, runner, request=_REQUEST) -> None:
        try:
            body = await self._read_body(scene, runner, request)
        except connections.BrokenAnswerError:
            return
        self.fail(f"complete with {len(body)} bytes")

    def test_the_end_of_the_relays_process_does_not_complete_an_answer(
        self,
    ) -> None:
        async def scenario(scene, runner) -> None:
            async with self._open(scene, runner.address) as connection:
                await connection.send_request(_REQUEST)
                await connection.read_head()
                # Cancelling the relay closes its sockets as a kill would.
                scene.cancel_relays()
                error = await self._find_error(connection)
                self.assertIsInstance(error, connections.BrokenAnswerError)

        self._run(scenario, Script((_UNSIZED, b"ab"), is_held=True))

    async def _find_error(self, connection) -> Exception | None:
        try:
            await connection.read_body()
        except connections.BrokenAnswerError as error:
            return error
        return None

    def test_the_runners_connection_closes_when_the_caller_gives_up(
        self,
    ) -> None:
        async def scenario(scene, runner) -> None:
            async with self._open(scene, runner.address) as connection:
                await connection.send_request(_REQUEST)
                await runner.heard.wait()
                self.assertEqual(1, scene.relays[0].count_tunnels())
            await runner.closed.wait()
            while scene.relays[0].count_tunnels():
                await trio.sleep(_POLL_S)

        self._run(scenario, Script(is_held=True))

    def test_a_failed_accept_ends_no_tunnel_and_the_next_one_opens(
        self,
    ) -> None:
        accept = trio.SocketListener.accept
        failed = trio.Event()

        async def fail_once(listener):
            if not failed.is_set():
                failed.set()
                raise OSError(errno.EPERM, "Operation not permitted")
            return await accept(listener)

        async def scenario(scene, runner) -> None:
            async with self._open(scene, runner.address) as first:
                await first.send_request(_REQUEST)
                await first.read_head()
                with mock.patch.object(
                    trio.SocketListener, "accept", fail_once
                ):
                    # The accept in progress takes this one, the next fails.
                    async with self._open(scene, runner.address):
                        await failed.wait()
                    async with self._open(scene, runner.address):
                        pass
                runner.close_held_connections()
                self.assertEqual(b"ab", await first.read_body())

        self._run(scenario, Script((_UNSIZED, b"ab"), is_held=True))

    def test_tunnels_lead_to_known_runners_only(self) -> None:
        async def scenario(scene, runner) -> None:
            await self._assert_refused(scene, runner)
            self.assertEqual([], runner.requests)

        self._run(scenario, Script(), is_runner=lambda _: False)

    async def _assert_refused(self, scene, runner) -> tunnel.TunnelRefusedError:
        with self.assertRaises(tunnel.TunnelRefusedError) as caught:
            async with self._open(scene, runner.address):
                pass
        return caught.exception

    def test_a_relay_that_lost_the_path_itself_refuses(self) -> None:
        async def scenario(scene, runner) -> None:
            scene.relay_paths[0].note_lost(runner.address)
            error = await self._assert_refused(scene, runner)
            self.assertFalse(error.is_refused)
            self.assertEqual([], runner.requests)

        self._run(scenario, Script())

    def test_a_stopping_relay_keeps_open_tunnels_and_refuses_new_ones(
        self,
    ) -> None:
        async def scenario(scene, runner) -> None:
            async with self._open(scene, runner.address) as connection:
                await connection.send_request(_REQUEST)
                scene.relays[0].is_closing = True
                error = await self._assert_refused(scene, runner)
                self.assertFalse(error.is_refused)
                await connection.read_head()
                self.assertEqual(b"ab", await connection.read_body())

        self._run(scenario, Script((_UNSIZED, b"ab")))

    def test_a_runner_that_refuses_the_relay_is_told(self) -> None:
        async def scenario(scene, runner) -> None:
            runner.stop_listening()
            await trio.testing.wait_all_tasks_blocked()
            error = await self._assert_refused(scene, runner)
            self.assertTrue(error.is_refused)

        self._run(scenario, Script())

    def test_other_requests_than_connect_are_dropped(self) -> None:
        async def scenario(scene, runner) -> None:
            del runner
            host, _, port = scene.addresses[0].rpartition(":")
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                with self.assertRaises(trio.BrokenResourceError):
                    await stream.receive_some()

        self._run(scenario, Script())

    def test_a_probe_through_a_suspended_relay_ends(self) -> None:
        async def scenario(scene, runner) -> None:
            with socket.socket() as suspended:
                suspended.bind((loopback.HOST, 0))
                suspended.listen()
                port = suspended.getsockname()[1]
                scene.addresses[0] = loopback.create_address(port)
                with self.assertRaises(tunnel.RelayUnreachableError):
                    async with self._open(scene, runner.address):
                        pass

        self._run(scenario, Script())
