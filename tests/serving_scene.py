"""Run a daemon's serving path with scripted runners over loopback."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from typing import TYPE_CHECKING, Any

import h11
import msgspec
import trio

from martenquay_core.serving import ports
from martenquay_core.settings import gateway
from martenquay_daemon.allowances import gate, terms
from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    refresher,
    runner_directory,
)
from martenquay_daemon.duties import usage_counts
from martenquay_daemon.engines import (
    demand,
    durations,
    loads,
    model,
    placer,
    speed_tracker,
)
from martenquay_daemon.forwarding import (
    attempt,
    connection_limit,
    forwarder,
    listener,
    metrics,
    quarantine_filter,
    retry_window,
    runner_connection,
    stop_window,
    stream_relay,
    stream_resumption,
    trial_recorder,
)
from martenquay_daemon.limits import caller_budget, ejection
from martenquay_daemon.migration import handover, targets
from martenquay_daemon.migration import parts as migration_parts
from martenquay_daemon.origins import parts as origin_parts
from martenquay_daemon.overload import backlog
from martenquay_daemon.overload import metrics as overload_metrics
from martenquay_daemon.overload import parts as overload_parts
from martenquay_daemon.quarantine import manager
from martenquay_daemon.rollouts import registry, tallies, versions
from martenquay_platform import codec
from martenquay_standins import loopback
from martenquay_standins.ports import log
from martenquay_standins.ports import runner as scripted
from tests import allowance_fleet
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from martenquay_core.serving import catalog

__all__ = ["Reply", "Scene", "open_scene", "read_replies", "read_reply"]

_RECEIVE_BYTES = 65_536
_USAGE_WINDOW_S = 5.0
_MAX_ENTRY_AGE_S = 1.0


@dataclasses.dataclass
class Reply:
    """An HTTP response as a caller receives it.

    Attributes:
        status: The HTTP status; 0 if the connection closed without one.
        headers: The headers, with lower-case names.
        body: The received part of the body.
        is_whole: The response is complete.
    """

    status: int = 0
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Scene:
    """The parts of one daemon and the runners behind it.

    Attributes:
        parts: Parts that the forwarder is built from.
        listener: Accepts callers' connections.
        address: Address of the listener.
        runners: The scripted runners.
        log: The platform's log.
        follower: Follows the runners' topic. It is not run, as if a hub read
            for this daemon.
        entries: Refreshes runners' entries that are too old.
        quarantine: Rejects requests that crash their runners.
        crash_follower: Follows the crash records in the log.
        origins: Remembers the versions that began streams.
        usage: Counts of started requests.
        meter: Prefill tokens demanded.
        streams: Durations of streams.
        backlogs: Waiting prompts by service and urgency.
        ledger: Load by runner.
        estimates: Prefill speed of the runners.
        stop: Rejects requests that a graceful stop would cut off.
        runner_admission: Limits, drains and backoffs that runners reported.
        mover: Moves streams off leaving engines; None without calls on them.
        early_digests: How often an early digest was requested.
    """

    def __init__(
        self,
        content: catalog.Catalog,
        platform_log: log.MemoryLog | None = None,
        *,
        is_gated: bool = True,
        engines: ports.EnginePort | None = None,
        settings: dict[str, Any] | None = None,
        opener: runner_connection.StreamOpener = runner_connection.open_stream,
    ) -> None:
        records = builders.FakeRecords()
        records.catalogs[b"catalog"] = content
        self._records = records
        self.store = catalog_store.create_store(records)
        self.store.offer(b"catalog", "the test")
        log_contact = contact.LogContact()
        self.directory = runner_directory.RunnerDirectory(records, log_contact)
        self.log = platform_log or log.MemoryLog()
        self.follower = keyed_follower.KeyedFollower(
            self.log,
            log_contact,
            builders.TOPICS.runners,
            self.directory,
            keyed_follower.ReadSchedule(wait_s=1.0),
            is_needed=lambda: False,
        )
        self.entries = refresher.create_refresher(
            self.follower, "runners' entries", _MAX_ENTRY_AGE_S
        )
        self.usage = usage_counts.UsageCounts(_USAGE_WINDOW_S, lambda: 2.0)
        self.ledger = loads.LoadLedger()
        self.backlogs = backlog.BacklogLedger()
        self.estimates = model.RunnerModel()
        self.speeds = speed_tracker.create_speed_tracker()
        self.meter = demand.DemandMeter()
        self.streams = durations.StreamDurations()
        self.stop = stop_window.StopWindow(self.streams)
        self.early_digests = 0
        self.runner_admission = builders.build_runner_admission()
        ejector = ejection.Ejector()
        self.quarantine = manager.create_quarantine_manager(
            self.log, builders.TOPICS.strikes
        )
        self.crash_follower = keyed_follower.KeyedFollower(
            self.log,
            log_contact,
            builders.TOPICS.strikes,
            self.quarantine,
            keyed_follower.ReadSchedule(wait_s=1.0),
        )
        self.origins = origin_parts.create_origins(
            self.log,
            builders.TOPICS.origins,
            builders.TOPICS.versions,
            self.store,
            self.directory,
            self.follower,
            builders.FakeOriginPeers(),
        )
        rng = random.Random(1)
        header_codec = codec.create_codec()
        counts = metrics.create_metrics()
        self.mover = migration_parts.create_mover(
            msgspec.convert(
                builders.build_gateway_settings(**(settings or {})),
                gateway.GatewaySettings,
            ),
            engines,
            self.store,
            self.directory,
            targets.TargetFinder(
                self.directory,
                self.runner_admission,
                ejector,
                self.ledger,
                lambda _: False,
            ),
            self.entries.refresh,
            counts,
        )
        bounds = retry_window.RetryBounds(0.2, 10.0, 100.0)
        orders = registry.RolloutRegistry()
        tolerance = terms.ToleranceBounds(8.0, 0.0, 0.0)
        quarantine = quarantine_filter.QuarantineFilter(
            self.quarantine, self.directory, self._has_ended
        )
        self.parts = forwarder.ForwarderParts(
            store=self.store,
            directory=self.directory,
            entries=self.entries,
            allowances=gate.create_gate(
                allowance_fleet.build_ledger(bounds=tolerance),
                allowance_fleet.LocalQuota(),
            ),
            placer=placer.Placer(
                "a",
                self.directory,
                self.ledger,
                self.estimates,
                ejector,
                rng,
                lambda _: False,
                lambda: True,
                self.runner_admission,
                speeds=self.speeds,
            ),
            attempts=attempt.AttemptMaker(
                header_codec,
                self.ledger,
                self.usage,
                self.meter,
                self._count_early_digest,
                self.runner_admission,
                self.speeds,
                self.backlogs,
                stream_relay.StreamRelay(
                    self.usage,
                    self.estimates,
                    self.streams,
                    self.speeds,
                    self.origins.finder.note_begun,
                    quarantine.note_events,
                ),
                self.mover,
                opener,
            ),
            retries=retry_window.RetryWindow(bounds, lambda: 1),
            ejector=ejector,
            runner_admission=self.runner_admission,
            quarantine=quarantine,
            stop=self.stop,
            resumption=stream_resumption.StreamResumption(
                self.origins.finder, self.directory, counts
            ),
            trials=trial_recorder.TrialRecorder(
                orders,
                tallies.TallyTable(),
                versions.VersionChooser(orders, rng, lambda: 1),
            ),
            overload=overload_parts.create_gate(
                gateway.LoadSettings(overload_admission=is_gated),
                self.store,
                self.directory,
                self.ledger,
                self.backlogs,
                self.estimates,
                self.meter,
                overload_metrics.create_metrics(counts.registry),
                rng,
                self.speeds.find,
            ),
            handovers=handover.Handovers(counts),
            answer_budget=caller_budget.create_budget(
                gateway.ResourceSettings().memory_mb,
                caller_budget.ANSWER_SHARE,
            ),
            metrics=counts,
            codec=header_codec,
            rng=rng,
            wait_until_read=trio.lowlevel.checkpoint,
        )
        self.listener = listener.CallerListener(
            loopback.create_address(),
            lambda: self.store.table.catalog.limits,
            header_codec,
            forwarder.Forwarder(self.parts),
            connection_limit.create_room(gateway.ResourceSettings()),
        )
        self.address = ""
        self.runners: list[scripted.ScriptedRunner] = []

    async def _has_ended(self, address: str) -> bool:
        """Return whether a runner has ended, without connecting to it.

        Scripted runners count connections and answer each by its own script.
        """
        await trio.lowlevel.checkpoint()
        return any(
            runner.has_ended
            for runner in self.runners
            if runner.address == address
        )

    def _count_early_digest(self) -> None:
        self.early_digests += 1

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.entries.run)
            nursery.start_soon(self.crash_follower.run)
            nursery.start_soon(self.quarantine.run)
            nursery.start_soon(self.origins.log.run)
            if self.mover is not None:
                nursery.start_soon(self.mover.run)
            self.address = await nursery.start(self.listener.run)
            task_status.started()

    def add_runner(self, address: str, **changes: Any) -> None:
        """Write a runner's entry and apply it."""
        number = len(self._records.runners)
        value = b"runner %d" % number
        fields = {"id": f"runner-{number}", "address": address}
        self._records.runners[value] = builders.build_runner(
            **(fields | changes)
        )
        key = self._records.runners[value].id
        offset = self.log.put(builders.TOPICS.runners, key, value)
        self.directory.apply_change(ports.KeyedRecord(offset, key, value))
        self.follower.skip_to(offset + 1)

    def put_leaving_entry(self, number: int) -> None:
        """Write to the log that a runner drains; the daemon is not notified."""
        runner_entry = self._records.runners[b"runner %d" % number]
        value = b"runner %d leaves" % number
        self._records.runners[value] = dataclasses.replace(
            runner_entry, is_leaving=True
        )
        self.log.put(builders.TOPICS.runners, runner_entry.id, value)

    def drop_entry(self, number: int) -> None:
        """Delete the entry of a runner, as when it expires."""
        runner_entry = self._records.runners[b"runner %d" % number]
        offset = self.log.put(builders.TOPICS.runners, runner_entry.id, b"")
        self.directory.apply_change(
            ports.KeyedRecord(offset, runner_entry.id, None)
        )

    async def ask(self, raw: bytes) -> Reply:
        """Send bytes on a new connection and read one response."""
        host, _, port = self.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(raw)
            return await read_reply(stream)

    async def open_caller(self) -> trio.SocketStream:
        """Open a connection to the listener."""
        host, _, port = self.address.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))


@contextlib.asynccontextmanager
async def open_scene(
    content: catalog.Catalog,
    *scripts: list[scripted.Script],
    is_gated: bool = True,
    opener: runner_connection.StreamOpener = runner_connection.open_stream,
) -> AsyncIterator[Scene]:
    """Serve with one scripted runner per list of scripts."""
    scene = Scene(content, is_gated=is_gated, opener=opener)
    async with trio.open_nursery() as nursery:
        for script in scripts:
            runner = scripted.ScriptedRunner(script)
            await nursery.start(runner.run)
            scene.runners.append(runner)
            scene.add_runner(runner.address)
        await nursery.start(scene.run)
        yield scene
        nursery.cancel_scope.cancel()


async def read_reply(stream: trio.SocketStream) -> Reply:
    """Read one response until it is complete or the connection closes."""
    return (await read_replies(stream, 1))[0]


async def read_replies(stream: trio.SocketStream, count: int) -> list[Reply]:
    """Read the responses to pipelined requests."""
    http = h11.Connection(h11.CLIENT)
    replies = [await _read_one(http, stream)]
    while len(replies) < count:
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            replies.append(await _read_one(http, stream))
        else:
            replies.append(Reply())
    return replies


async def _read_one(http: h11.Connection, stream: trio.SocketStream) -> Reply:
    request = h11.Request(method="GET", target="/", headers=[("host", "a")])
    http.send(request)
    http.send(h11.EndOfMessage())
    reply = Reply()
    while True:
        try:
            event = http.next_event()
        except h11.RemoteProtocolError:
            return reply
        match event:
            case h11.Response():
                reply.status = event.status_code
                reply.headers = dict(event.headers)
            case h11.Data():
                reply.body += bytes(event.data)
            case h11.EndOfMessage():
                reply.is_whole = True
                return reply
            case h11.ConnectionClosed():
                return reply
            case _:
                try:
                    data = await stream.receive_some(_RECEIVE_BYTES)
                except trio.BrokenResourceError:
                    return reply
                http.receive_data(data)
