"""Run `martenquayd` with the settings file given as a flag."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import trio
from absl import app, flags

from martenquay_core import logs
from martenquay_core.settings import models, reader
from martenquay_core.util import boot_clock, signals
from martenquay_daemon import daemon, settings_start

if TYPE_CHECKING:
    from martenquay_core.util import held_signals

__all__ = ["start"]

_SETTINGS = flags.DEFINE_string(
    "settings", None, "The settings file, JSON with comments.", required=True
)
_LOG = logs.create_log("daemon")
_EXIT_INVALID_SETTINGS = 7
_EXIT_CUT_OFF = 1


def start(held: held_signals.HeldSignals) -> None:
    """Run the daemon until it is stopped."""
    held.ends_at_stop = False
    app.run(lambda _: _run_and_end(held))


def _run_and_end(held: held_signals.HeldSignals) -> int:
    try:
        return _run(held)
    finally:
        # Also after an error, whose status a signal would change.
        signals.ignore_signals()


def _run(held: held_signals.HeldSignals) -> int:
    settings = settings_start.read_when_written(
        _SETTINGS.value, models.DaemonSettings, held
    )
    if settings is None:
        return 0
    if settings.is_error():
        for problem in settings.error:
            print(reader.describe_problem(problem), file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    logs.start_logging(settings.ok.instance)
    return trio.run(_serve, settings.ok, held, clock=boot_clock.create_clock())


async def _serve(
    settings: models.DaemonSettings, held: held_signals.HeldSignals
) -> int:
    process = daemon.Daemon(settings)
    async with trio.open_nursery() as nursery:

        def cut_off() -> None:
            cut = process.record_cut_off()
            _LOG.write(
                f"Stopping at once; cut off {cut} requests.", cut_off=cut
            )
            nursery.cancel_scope.cancel()

        handler = signals.SignalHandler(held, _log_reload_ignored, cut_off)
        # The handler runs until the last request has ended: an unhandled
        # signal would end the process and the requests in progress.
        await nursery.start(handler.run)
        addresses = await nursery.start(process.run)
        _print_addresses(addresses, process.member)
        handler.stage = signals.Stage.SERVING
        await handler.stop.wait()
        handler.stage = signals.Stage.STOPPING
        process.stop()
        await process.wait_stopped()
        nursery.cancel_scope.cancel()
    # `readiness.in_progress` is zero by now, also after requests were cut off.
    return _EXIT_CUT_OFF if process.cut_off else 0


def _print_addresses(addresses: daemon.Addresses, member: str) -> None:
    """Print the addresses, whose ports the system may have chosen."""
    line = {
        "callers": addresses.callers,
        "operators": addresses.operators,
        "peers": addresses.peers,
        "member": member,
    }
    print(json.dumps(line), flush=True)


def _log_reload_ignored() -> None:
    _LOG.write("Ignored SIGHUP; settings are read only at the start.")
