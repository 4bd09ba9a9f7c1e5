"""Start `martenquayd` with a settings file."""

from __future__ import annotations

import json
import signal
import sys

import trio
from absl import app, flags

from martenquay_core import logs
from martenquay_core.settings import models, reader
from martenquay_daemon import daemon

__all__ = ["start"]

_SETTINGS = flags.DEFINE_string(
    "settings", None, "The settings file, JSON with comments.", required=True
)
_LOG = logs.create_log("daemon")
_EXIT_SETTINGS = 7
_EXIT_CUT_OFF = 1


def start() -> None:
    """Run the daemon; the entry point of the binary."""
    app.run(_run)


def _run(argv: list[str]) -> int:
    del argv
    settings = reader.read_settings(_SETTINGS.value, models.DaemonSettings)
    if settings.is_error():
        for problem in settings.error:
            print(reader.describe_problem(problem), file=sys.stderr)
        return _EXIT_SETTINGS
    logs.start_logging(settings.ok.instance)
    return trio.run(_serve, settings.ok)


async def _serve(settings: models.DaemonSettings) -> int:
    process = daemon.Daemon(settings)
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(process.run)
        # The launcher reads this line to learn ports that the system chose.
        line = {
            "callers": addresses.callers,
            "operators": addresses.operators,
            "peers": addresses.peers,
            "member": process.member,
        }
        print(json.dumps(line), flush=True)
        nursery.start_soon(_obey_signals, process, nursery)
        await process.wait_stopped()
        nursery.cancel_scope.cancel()
    return 0 if process.readiness.in_progress == 0 else _EXIT_CUT_OFF


async def _obey_signals(process: daemon.Daemon, nursery: trio.Nursery) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        first = True
        async for number in signals:
            if first:
                process.stop()
                first = False
                continue
            cut = process.readiness.in_progress
            _LOG.write(f"Signal {number} again: cut off {cut} requests.")
            nursery.cancel_scope.cancel()
            return
