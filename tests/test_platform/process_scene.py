"""Run the daemon as a process against a stand-in platform and runner."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import pathlib
import signal
import tempfile
from typing import TYPE_CHECKING, Any

import trio

from martenquay_platform import log as wire
from martenquay_platform_standins import store
from martenquay_standins import host
from martenquay_standins.chaos import programs
from martenquay_standins.ports import runner as scripted
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from tests import endless_runner, paced_runner, plain_runner

__all__ = ["ProcessScene", "open_process_scene"]

_PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "martenquayd.py"
_POLL_INTERVAL_S = 0.005
_GRACE_S = 8.0
_HOST = "desk.example"
_CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "r-note",
            "Host": _HOST,
            "PathPrefix": "/note/",
            "RouteKind": "streaming",
            "TimeoutMs": 30000,
            "SloMs": 500,
            "Service": "model",
            "MaxAttempts": 1,
        }
    ],
    "Services": [{"Name": "model"}],
}
_FIRST_ATTEMPT_ID = b"call-1"
_SECOND_ATTEMPT_ID = b"call-2"
_REQUEST = (
    b"GET /note/1 HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: call-1\r\ndeadline-ms: 30000\r\n\r\n"
)
_ANSWER_PIECES = (
    b"HTTP/1.1 200 OK\r\nserver-seal: s\r\nattempt-id: call-1\r\n"
    b"content-type: text/event-stream\r\ncontent-length: 18\r\n\r\n",
    b"id: 1\n\n\n\n",
    b"id: 2\n\n\n\n",
)
_STARTED_PREFIX = "Started; callers are served at "
# Stands in for trio, the first third-party module that the daemon imports: it
# blocks until the test closes the pipe, then imports the real module.
_BLOCKING_MODULE_NAME = "trio.py"
_BLOCKING_MODULE = """\
import importlib
import sys
with open({pipe!r}) as pipe:
    pipe.read()
sys.path.remove({folder!r})
del sys.modules[__name__]
importlib.import_module(__name__)
"""


class ProcessScene:
    """A daemon's process with its settings file and the one runner.

    Attributes:
        program: The process.
        startup_module: Source that the interpreter runs at its start; empty
            for none.
        grace_s: The grace time in the settings; `change_settings` writes it.
        runner: The runner; unless another is given, its first stream waits for
            `resume` before its last event, later streams never end.
        resume: Lets the runner end its first stream.
        texts: The texts of the daemon's log lines.
        settings: The daemon's settings file.
        platform: The platform's store.
        lines: The daemon's log lines.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        platform: store.StoreStandIn,
        log_address: str,
        listen: dict[str, Any],
        grace_s: float,
        runner: endless_runner.EndlessRunner
        | paced_runner.PacedRunner
        | plain_runner.PlainRunner
        | None,
    ) -> None:
        self.resume = trio.Event()
        first_script = scripted.Script(_ANSWER_PIECES, resume=self.resume)
        head = _ANSWER_PIECES[0].replace(_FIRST_ATTEMPT_ID, _SECOND_ATTEMPT_ID)
        endless_script = scripted.Script(
            (head, _ANSWER_PIECES[1]), is_held=True
        )
        self.runner = runner or scripted.ScriptedRunner(
            [first_script, endless_script]
        )
        self.texts: list[str] = []
        self.lines: list[dict[str, Any]] = []
        self.program: programs.Program | None = None
        self._folder = folder
        self._import_pipe: pathlib.Path | None = None
        self._log_read = trio.Event()
        self.platform = platform
        self.settings = folder / "settings.jsonc"
        self._listen = listen
        self.grace_s = grace_s
        self._retry_slack = 52
        self.startup_module = ""
        self._log_address = log_address
        self.write_settings()

    async def start(
        self, nursery: trio.Nursery, *, blocks_imports: bool
    ) -> None:
        """Start the daemon's process."""
        env = {**os.environ, "MARTENQUAY_BOOT": str(self.settings)}
        if blocks_imports:
            inherited = env.get("PYTHONPATH", "")
            env["PYTHONPATH"] = (
                f"{self._write_blocking_module()}{os.pathsep}{inherited}"
            )
        if self.startup_module:
            inherited = env.get("PYTHONPATH", "")
            env["PYTHONPATH"] = f"{self._folder}{os.pathsep}{inherited}"
            module = self._folder / "sitecustomize.py"
            module.write_text(self.startup_module)
        program = await programs.start_program("daemon", [str(_PROGRAM)], env)
        self.program = program
        nursery.start_soon(self._read_lines, program)
        nursery.start_soon(program.read_errors)

    async def restart(self, nursery: trio.Nursery) -> None:
        """Start the daemon's process again after it has exited."""
        self.texts.clear()
        self.lines.clear()
        self._log_read = trio.Event()
        await self.start(nursery, blocks_imports=False)

    def find_address(self) -> str:
        """Return where callers are served; empty until they are."""
        for text in self.texts:
            if text.startswith(_STARTED_PREFIX):
                return text.removeprefix(_STARTED_PREFIX).rstrip(".")
        return ""

    def send_signals(self, *numbers: signal.Signals) -> None:
        """Send signals to the process, one after the other."""
        assert self.program is not None, "the process is not started"
        for number in numbers:
            self.program.send(number)

    async def wait_until_signals_are_held(self) -> None:
        """Wait until SIGTERM has a handler; earlier, it ends the process."""
        assert self.program is not None, "the process is not started"
        path = pathlib.Path(f"/proc/{self.program.process.pid}/status")
        bit = signal.SIGTERM - 1
        while not _read_handled(path) >> bit & 1:
            self._check_running()
            await trio.sleep(_POLL_INTERVAL_S)

    def change_settings(self) -> None:
        """Replace the settings file by one with another retry slack."""
        self._retry_slack += 1
        self.write_settings()

    def create_settings(self) -> str:
        """Return the content of a valid settings file."""
        content = builders.build_gateway_settings()
        content["platform"] = {"log": self._log_address}
        content["listen"] |= self._listen
        content["bounds"]["retry_slack"] = self._retry_slack
        content["bounds"]["grace_s"] = self.grace_s
        return json.dumps(content)

    def write_settings(self) -> None:
        """Write a valid settings file."""
        self.settings.write_text(self.create_settings())

    async def wait_text(self, prefix: str) -> str:
        """Wait for a log text with this prefix; fail if the daemon ends."""
        while True:
            for text in self.texts:
                if text.startswith(prefix):
                    return text
            self._check_running()
            await trio.sleep(_POLL_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def hold_imports(self) -> AsyncIterator[None]:
        """Block the daemon in its imports until the context is left."""
        assert self._import_pipe is not None, "the scene does not block imports"
        while (pipe := _open_pipe(self._import_pipe)) is None:
            self._check_running()
            await trio.sleep(_POLL_INTERVAL_S)
        try:
            yield
        finally:
            os.close(pipe)

    async def send_signals_while_importing(
        self, *numbers: signal.Signals
    ) -> None:
        """Send signals while the daemon is blocked in its imports."""
        async with self.hold_imports():
            self.send_signals(*numbers)

    async def wait_until_serving(self) -> None:
        """Wait until the daemon serves callers and knows route and runner."""
        await self.wait_text(_STARTED_PREFIX)
        await self.wait_text("Version 1 is in force")
        await self.wait_text("Runner runner-1 is known")

    async def open_stream(self) -> trio.SocketStream:
        """Send a request; return once the runner has received it."""
        text = await self.wait_text(_STARTED_PREFIX)
        address = text.removeprefix(_STARTED_PREFIX).rstrip(".")
        host_name, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host_name, int(port))
        await stream.send_all(_REQUEST)
        while not any(self.runner.requests):
            self._check_running()
            await trio.sleep(_POLL_INTERVAL_S)
        return stream

    async def send_second_request(self, stream: trio.SocketStream) -> None:
        """Send a second request on the connection of the first."""
        await stream.send_all(
            _REQUEST.replace(_FIRST_ATTEMPT_ID, _SECOND_ATTEMPT_ID)
        )

    async def read_answer(
        self, stream: trio.SocketStream
    ) -> serving_scene.Reply:
        """Let the runner end its first stream; read the answer."""
        self.resume.set()
        async with stream:
            return await serving_scene.read_reply(stream)

    async def read_two_answers(
        self, stream: trio.SocketStream
    ) -> list[serving_scene.Reply]:
        """Let the runner end its first stream; read both requests' answers."""
        self.resume.set()
        async with stream:
            return await serving_scene.read_replies(stream, 2)

    async def wait_exit(self) -> int:
        """Return the exit status once the process's log is read completely."""
        assert self.program is not None, "the process is not started"
        status = await self.program.process.wait()
        await self._log_read.wait()
        return status

    def describe(self) -> str:
        """Return the daemon's log texts and errors, for a failure message."""
        assert self.program is not None, "the process is not started"
        errors = self.program.errors.decode(errors="replace")
        return "\n".join([*self.texts, errors])

    async def _read_lines(self, program: programs.Program) -> None:
        await program.read_lines(self._add_text)
        self._log_read.set()

    def _add_text(self, line: dict[str, Any]) -> None:
        self.texts.append(line.get("text", ""))
        self.lines.append(line)

    def _check_running(self) -> None:
        assert self.program is not None, "the process is not started"
        status = self.program.process.poll()
        if status is not None:
            raise AssertionError(
                f"daemon exited with {status}: {self.describe()}"
            )

    def _write_blocking_module(self) -> pathlib.Path:
        """Write the blocking module; return the folder to import it from."""
        folder = self._folder / "gate"
        folder.mkdir()
        self._import_pipe = self._folder / "gate.pipe"
        os.mkfifo(self._import_pipe)
        source = _BLOCKING_MODULE.format(
            pipe=str(self._import_pipe), folder=str(folder)
        )
        (folder / _BLOCKING_MODULE_NAME).write_text(source)
        return folder


@contextlib.asynccontextmanager
async def open_process_scene(
    *,
    blocks_imports: bool = False,
    listen: dict[str, Any] | None = None,
    grace_s: float = _GRACE_S,
    prepare: Callable[[ProcessScene], None] | None = None,
    runner: endless_runner.EndlessRunner
    | paced_runner.PacedRunner
    | plain_runner.PlainRunner
    | None = None,
    relay: str = "",
    startup_module: str = "",
    configuration: dict[str, Any] | None = None,
) -> AsyncIterator[ProcessScene]:
    """Start a platform, a runner and a daemon; stop them on exit.

    Args:
        blocks_imports: Blocks the daemon in its imports until
            `send_signals_while_importing` is called.
        listen: Settings of the addresses that the daemon listens on, which
            replace those of `builders.build_gateway_settings`.
        grace_s: The daemon's grace time in seconds.
        prepare: Called before the daemon is started.
        runner: Serves in place of the scripted runner.
        relay: Address at which the daemon serves tunnels; empty for any.
        startup_module: Source that the daemon's interpreter runs at its start.
        configuration: The operators' configuration, version 1 with the service
            `model`; None for one route of streams.
    """
    async with trio.open_nursery() as nursery:
        platform = store.StoreStandIn(lambda *_, **__: None)
        running_store = await host.start_stand_in(nursery, platform)
        with tempfile.TemporaryDirectory() as folder:
            scene = ProcessScene(
                pathlib.Path(folder),
                platform,
                running_store.address,
                _add_relay(listen or {}, relay),
                grace_s,
                runner,
            )
            scene.startup_module = startup_module
            await nursery.start(scene.runner.run)
            await _write_records(
                platform, scene.runner.address, configuration or _CONFIG
            )
            if prepare is not None:
                prepare(scene)
            try:
                await scene.start(nursery, blocks_imports=blocks_imports)
                yield scene
            finally:
                if scene.program is not None:
                    scene.program.kill()
        nursery.cancel_scope.cancel()


def _add_relay(listen: dict[str, Any], relay: str) -> dict[str, Any]:
    """Return the settings of addresses, with that of the relay if given."""
    if not relay:
        return listen
    ip, _, port = relay.rpartition(":")
    return {**listen, "ip": ip, "relay_port": int(port)}


async def _write_records(
    platform: store.StoreStandIn, runner: str, configuration: dict[str, Any]
) -> None:
    """Write the configuration and the runner's entry to the log."""
    entry = {
        "Service": "model",
        "Addr": runner,
        "Zone": "a",
        "Version": "v1",
        "Slots": 64,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
    }
    records = [
        ("keyed.op", "config", configuration),
        ("keyed.servers", "runner-1", entry),
    ]
    for topic, key, content in records:
        payload = wire.join_keyed(key, json.dumps(content).encode())
        await platform.log.append(topic, [payload])


def _read_handled(path: pathlib.Path) -> int:
    """Return the bit mask of the signals that a process handles."""
    lines = path.read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    # A process that has ended has none.
    return int(fields.get("SigCgt", "0"), 16)


def _open_pipe(path: pathlib.Path) -> int | None:
    """Open a pipe for writing; None if no process reads it yet."""
    try:
        return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
    except OSError as error:
        if error.errno == errno.ENXIO:
            return None
        raise
