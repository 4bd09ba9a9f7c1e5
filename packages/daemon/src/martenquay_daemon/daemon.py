"""Run one daemon and drain it on a planned stop."""

from __future__ import annotations

import dataclasses
import secrets
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import http, server
from martenquay_daemon import parts as parts_module
from martenquay_daemon import supervision
from martenquay_daemon.callers import app as caller_app

if TYPE_CHECKING:
    from martenquay_core.settings import models

__all__ = ["Addresses", "Daemon"]

_LOG = logs.create_log("daemon")
_DRAIN_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Addresses:
    """Addresses on which a running daemon listens.

    Attributes:
        callers: HTTP for callers.
        operators: HTTP for operators.
        peers: Links from other daemons.
    """

    callers: str
    operators: str
    peers: str


class Daemon:
    """The daemon of an entry instance.

    Attributes:
        settings: Its settings.
        readiness: State behind the readiness check.
        member: The id under which other daemons know this process.
        cut_off: Number of requests that were in progress when it ended.
    """

    def __init__(self, settings: models.DaemonSettings) -> None:
        self.settings = settings
        self.readiness = caller_app.Readiness()
        # A new id per process tells peers that this one does not know which
        # calls were made before a restart.
        self.member = f"{settings.instance}.{secrets.token_hex(4)}"
        self.cut_off = 0
        self._stop = trio.Event()
        self._close = trio.Event()
        self._stopped = trio.Event()

    async def wait_stopped(self) -> None:
        """Return when the daemon has drained."""
        await self._stopped.wait()

    def stop(self) -> None:
        """Start a planned stop."""
        self._stop.set()

    def record_cut_off(self) -> int:
        """Record and return how many requests an immediate end cuts off."""
        # A second call, made while requests are being cancelled, counts fewer.
        self.cut_off = max(self.cut_off, self.readiness.in_progress)
        return self.cut_off

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped, then drain."""
        async with (
            http.open_client() as reusing,
            http.open_client() as platform,
            http.open_client(reuse=False) as fresh,
            trio.open_nursery() as nursery,
        ):
            parts = parts_module.DaemonParts(
                self.settings,
                self.member,
                self.readiness,
                platform,
                reusing,
                fresh,
                nursery,
            )
            peer_address = await nursery.start(parts.peers.run)
            parts.announce_address(peer_address)
            await nursery.start(parts.claims.run)
            await nursery.start(parts.worker.run, parts.chats.perform)
            for name, task in parts.list_tasks().items():
                nursery.start_soon(supervision.keep_running, name, task)
            addresses = await self._start_servers(parts, nursery, peer_address)
            nursery.start_soon(self._mark_started, parts)
            _LOG.write(
                f"Daemon {self.member} accepts callers at {addresses.callers}."
            )
            task_status.started(addresses)
            await self._stop.wait()
            await self._drain(parts)
            self._stopped.set()
            nursery.cancel_scope.cancel()

    async def _start_servers(
        self,
        parts: parts_module.DaemonParts,
        nursery: trio.Nursery,
        peer_address: str,
    ) -> Addresses:
        limits = self.settings.limits
        options = server.ServerOptions(
            self.settings.listen.callers,
            self.settings.timing.drain_limit_s,
            limits.header_bytes,
        )
        callers = await nursery.start(
            lambda task_status: server.serve_app(
                parts.caller_app,
                options,
                stop=self._close.wait,
                task_status=task_status,
            )
        )
        operators = await nursery.start(
            lambda task_status: server.serve_app(
                parts.operator_app,
                server.ServerOptions(self.settings.listen.operators),
                task_status=task_status,
            )
        )
        return Addresses(callers, operators, peer_address)

    async def _mark_started(self, parts: parts_module.DaemonParts) -> None:
        await parts.config_follower.ready.wait()
        self.readiness.is_started = True
        offset = parts.config.applied.value
        _LOG.write(
            f"Ready; applied the configuration up to offset {offset}.",
            offset=offset,
        )

    async def _drain(self, parts: parts_module.DaemonParts) -> None:
        """Drain in an order that cuts no request off.

        The load balancer first has to see the readiness check fail; then the
        daemon stops accepting connections and finishes requests in progress.
        """
        timing = self.settings.timing
        self.readiness.is_stopping = True
        parts.members.announce_leaving()
        parts.worker.hand_over()
        _LOG.write("Stopping; readiness checks fail from now on.")
        await trio.sleep(timing.drain_notice_s)
        self._close.set()
        with trio.move_on_after(timing.drain_limit_s) as limit:
            while self._count_unfinished(parts):
                await trio.sleep(_DRAIN_POLL_S)
        if limit.cancelled_caught:
            cut = self.cut_off = self._count_unfinished(parts)
            _LOG.write(f"Stopped at the drain limit; cut off {cut} requests.")
        else:
            _LOG.write("Stopped; no request was cut off.")

    def _count_unfinished(self, parts: parts_module.DaemonParts) -> int:
        return (
            self.readiness.in_progress
            + parts.claims.count_unreported()
            + len(parts.requests.list_running())
        )
