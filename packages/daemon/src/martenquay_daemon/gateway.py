"""Run a daemon on a platform and drain it on a planned stop."""

from __future__ import annotations

import math
import sys
import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import signals
from martenquay_daemon import (
    gateway_parts,
    readiness,
    settings_watch,
    start,
    supervision,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports as serving_ports
    from martenquay_core.settings import gateway
    from martenquay_core.util import held_signals
    from martenquay_daemon import gateway_ports

__all__ = ["EXIT_START", "run_gateway"]

EXIT_START = 8

_LOG = logs.create_log("gateway")
# The load balancer probes each second and sends new connections until the
# second failed probe.
_READINESS_NOTICE_S = 2.6
# For connections in the accept queue and requests in transit, which come after
# the notice; a short grace time leaves less for the notice.
_LAST_REQUESTS_S = 0.3
# From then on a request that has not arrived is refused: its caller may try
# another daemon, and the stop need not wait for one that never ends it.
_LAST_BODIES_S = 1.0
# Before the end of a short grace time; the refusal takes a moment.
_REFUSAL_S = 0.3
# Time to exit between the end of draining and the kill after the grace time.
_EXIT_MARGIN_S = 0.4
_DRAIN_POLL_S = 0.02
# The log of a process killed in a stop then tells how far the stop had come.
_PROGRESS_INTERVAL_S = 1.0
_LOG_FLUSH_S = 0.2


async def run_gateway(
    settings: gateway.GatewaySettings,
    ports: gateway_ports.GatewayPorts,
    settings_path: str,
    held: held_signals.HeldSignals,
) -> int:
    """Serve until a planned stop and return the exit status.

    Args:
        settings: Settings read at the start.
        ports: Adapters to the platform.
        settings_path: File that is watched for changed settings.
        held: Signals that arrived before they could be handled.

    Returns:
        0, or `EXIT_START` if an address cannot be listened on.
    """
    writer = logs.start_bounded_logging(
        settings.instance, sys.stdout.fileno(), _LOG
    )
    try:
        status = await _serve(settings, ports, settings_path, held)
    except Exception as error:
        # The traceback goes to standard error; without this line the log of a
        # crash ends like that of a process killed from outside.
        _LOG.write(f"Ended by a fault: {error!r}.")
        raise
    else:
        # A process that was killed lacks this line.
        _LOG.write("Ended; all connections are closed.", status=status)
    finally:
        writer.close(_LOG_FLUSH_S)
    return status


async def _serve(
    settings: gateway.GatewaySettings,
    ports: gateway_ports.GatewayPorts,
    settings_path: str,
    held: held_signals.HeldSignals,
) -> int:
    parts = gateway_parts.create_parts(settings, ports)
    watch = settings_watch.SettingsWatch(
        settings_path, settings, parts.apply_settings
    )
    handler = signals.SignalHandler(held, watch.reload)
    _LOG.write(
        "Starting.",
        member=parts.member,
        max_connections=parts.listener.max_connections,
        budget_bytes=parts.listener.budget.capacity_bytes,
    )
    readiness_server = _create_readiness(settings, parts, ports.calls)
    exit_status = 0
    async with trio.open_nursery() as nursery:
        # The handler runs until the last request has ended: an unhandled
        # signal would end the process and the requests in progress.
        await nursery.start(handler.run)
        outcome = await start.listen_on_all(
            settings, parts, readiness_server, handler.stop
        )
        match outcome:
            case start.Stopped():
                _LOG.write("Stopped before callers were served.")
            case start.Failed(message=message):
                _LOG.write(f"Ended at the start: {message}.")
                print(message, file=sys.stderr)
                exit_status = EXIT_START
            case start.Listening():
                await _start_serving(settings, parts, readiness_server, nursery)
                nursery.start_soon(
                    supervision.keep_running, "settings", watch.run
                )
                handler.stage = signals.Stage.SERVING
                await handler.stop.wait()
                handler.stage = signals.Stage.STOPPING
                await _stop(watch, parts, handler.stopped_at)
        nursery.cancel_scope.cancel()
    return exit_status


async def _start_serving(
    settings: gateway.GatewaySettings,
    parts: gateway_parts.GatewayParts,
    readiness_server: readiness.ReadinessServer,
    nursery: trio.Nursery,
) -> None:
    address = await nursery.start(parts.listener.run)
    nursery.start_soon(readiness_server.run)
    await nursery.start(parts.run)
    _LOG.write(f"Started; callers are served at {address}.", zone=settings.zone)


def _create_readiness(
    settings: gateway.GatewaySettings,
    parts: gateway_parts.GatewayParts,
    codec: serving_ports.CallCodec,
) -> readiness.ReadinessServer:
    handler = readiness.ReadinessHandler(
        settings.listen, parts.is_ready, parts.metrics.render
    )
    return readiness.create_server(handler, settings.listen.readiness, codec)


async def _stop(
    watch: settings_watch.SettingsWatch,
    parts: gateway_parts.GatewayParts,
    signalled_at: float,
) -> None:
    """Drain within the grace time.

    Args:
        watch: Holds the current settings with the grace time.
        parts: Parts of the daemon that stops.
        signalled_at: When the stop signal arrived, in trio's time; possibly
            while the process was still starting.
    """
    started_at = trio.current_time()

    def find_deadline() -> float:
        # Read each time: operators may change the grace time during a stop.
        return signalled_at + watch.settings.bounds.grace_s - _EXIT_MARGIN_S

    def find_notice_end() -> float:
        return min(
            started_at + _READINESS_NOTICE_S,
            find_deadline() - _LAST_REQUESTS_S,
        )

    _LOG.write("Stopping; readiness checks fail from now on.")
    with trio.move_on_at(find_notice_end()):
        try:
            await parts.begin_stop(find_deadline)
        except Exception as error:  # noqa: BLE001
            # Requests in progress must finish even if releasing the lease or
            # notifying peers fails.
            trace_lines = traceback.format_exception(error)
            _LOG.write(
                f"Failed to announce the stop; draining continues: {error!r}.",
                trace="".join(trace_lines),
            )
    _LOG.write(
        "Announced the stop.",
        took_s=round(trio.current_time() - started_at, 3),
    )
    while trio.current_time() < find_notice_end():
        await trio.sleep(_DRAIN_POLL_S)
    parts.end_notice()
    parts.listener.stop_accepting()
    await _drain(parts, find_deadline)
    _LOG.write(
        "Stopped.",
        cut_off=parts.count_unfinished(),
        state=parts.describe_busy(),
        took_s=round(trio.current_time() - started_at, 3),
    )


async def _drain(
    parts: gateway_parts.GatewayParts, find_deadline: Callable[[], float]
) -> None:
    """Wait until no request is in progress, or for the deadline."""
    reported_at = -math.inf
    started_at = trio.current_time()
    while parts.count_busy():
        now = trio.current_time()
        if now >= min(
            started_at + _LAST_BODIES_S, find_deadline() - _REFUSAL_S
        ):
            parts.listener.refuse_unfinished()
        if now >= find_deadline():
            return
        if now >= reported_at + _PROGRESS_INTERVAL_S:
            reported_at = now
            _LOG.write(
                "Draining.",
                left_s=round(find_deadline() - now, 3),
                state=parts.describe_busy(),
            )
        await trio.sleep(_DRAIN_POLL_S)
