"""Build and connect the parts of a daemon that runs on a platform."""

from __future__ import annotations

import functools
import random
import secrets
from typing import TYPE_CHECKING

import trio

from martenquay_daemon import platform_calls, supervision
from martenquay_daemon.allowances import (
    gate,
    quota_ledger,
    refill_shares,
    terms,
)
from martenquay_daemon.backpressure import parts as backpressure_parts
from martenquay_daemon.discovery import (
    catalog_sink,
    catalog_store,
    contact,
    fan_out_sink,
    initial_sync,
    keyed_follower,
    read_schedules,
    refresher,
    runner_directory,
)
from martenquay_daemon.duties import (
    capacity_memory,
    heartbeat_clock,
    lease,
    usage_counts,
)
from martenquay_daemon.duties import parts as duty_parts
from martenquay_daemon.engines import (
    demand,
    durations,
    loads,
    model,
    placer,
    speed_tracker,
)
from martenquay_daemon.fleet import (
    announcements,
    links,
    quota_exchange,
    record_relay,
    roster,
    runner_report_gossip,
    state_copies,
    state_gossip,
    topology,
    view,
)
from martenquay_daemon.forwarding import (
    attempt,
    connection_limit,
    forwarder,
    listener,
    metrics,
    quarantine_filter,
    retry_window,
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
from martenquay_daemon.quarantine import evidence, manager
from martenquay_daemon.relay import dialer, paths, peers, server
from martenquay_daemon.rollouts import parts as rollout_parts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.settings import gateway
    from martenquay_daemon import gateway_ports
    from martenquay_daemon.fleet import messages

__all__ = ["GatewayParts", "create_parts"]

_MS_PER_S = 1000
# Runners' entries are read again before use at an age this far below the drain
# bound, which leaves time for the read (0.15 s), for trying another runner when
# one refuses the connection (0.1 s each), and for retransmissions (0.2 s).
_DRAIN_MARGIN_S = 1.0
# Must exceed the read interval of a small fleet (0.5 s); otherwise requests
# would wait for reads.
_MIN_REFRESH_AGE_S = 0.7


class GatewayParts:
    """Parts of a daemon, connected to each other.

    Attributes:
        instance: Name of the entry instance.
        member: Id of this process among the daemons.
        links: Links to other daemons.
        listener: Serves callers.
        relay: Relays other daemons' connections to runners.
        quarantine: Known crash records.
        metrics: Prometheus metrics.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        ports: gateway_ports.GatewayPorts,
    ) -> None:
        self.instance = settings.instance
        self._settings = settings
        self.metrics = metrics.create_metrics()
        self._ports = platform_calls.count_calls(
            ports, self.metrics.count_platform_call
        )
        self._is_stopping = False
        # A new id per process tells peers that the quota and counts of the
        # previous process are lost.
        self.member = f"{settings.instance}.{secrets.token_hex(4)}"
        self._rng = random.Random(settings.instance)
        self._build_discovery()
        self._build_relay()
        self._build_fleet()
        self._build_quarantine()
        self._build_origins()
        self._build_forwarding()
        self._build_duties()
        self._initial_sync = self._create_initial_sync()
        self._build_state_gossip()

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        return not self._is_stopping and self._catalog_store.version > 0

    def apply_settings(self, settings: gateway.GatewaySettings) -> None:
        """Apply the settings that can change without a restart.

        Addresses, zone, instance and resources take effect at the next restart.
        """
        bounds = settings.bounds
        self._retries.bounds = _find_retry_bounds(bounds)
        self._quota_ledger.bounds = _find_tolerance_bounds(bounds)
        self._quota_ledger.shares.window_s = bounds.allowance_window_s
        if self._mover is not None:
            self._mover.is_enabled = settings.load.stream_migration
        if settings.platform.log:
            self._ports.log.set_address(settings.platform.log)
        if self._ports.cloud is not None and settings.platform.cloud:
            self._ports.cloud.set_address(settings.platform.cloud)

    def count_busy(self) -> int:
        """Return how many requests of callers or other daemons it serves."""
        return self.listener.count_busy() + self.relay.count_tunnels()

    def count_unfinished(self) -> int:
        """Return how many requests would be cut off now."""
        return self.listener.count_requests() + self.relay.count_tunnels()

    def describe_busy(self) -> dict[str, object]:
        """Return what a stop waits for, as fields of a log line."""
        return {
            "connections": self.listener.count_busy(),
            "tunnels": self.relay.count_tunnels(),
            "requests": self.listener.list_requests(),
        }

    def find_retry_bounds(self) -> retry_window.RetryBounds:
        """Return the current bounds on retries."""
        return self._retries.bounds

    def end_notice(self) -> None:
        """Forward only requests whose deadline is within the stop."""
        self._stop_window.end_notice()

    async def begin_stop(self, find_deadline: Callable[[], float]) -> None:
        """Fail readiness, close connections after answers, release the lease.

        Args:
            find_deadline: Returns when all requests must have ended, in trio's
                time.
        """
        self._is_stopping = True
        self._stop_window.begin(find_deadline)
        self._state_gossip.is_leaving = True
        self.relay.is_closing = True
        self.listener.begin_closing()
        await self._lease.release()
        self.links.send_now()

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run all parts but the listener and the readiness check."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self.links.run)
            await nursery.start(self.relay.run)
            for name, task in self._list_tasks().items():
                nursery.start_soon(supervision.keep_running, name, task)
            nursery.start_soon(
                supervision.keep_running,
                "announcement",
                lambda: self._announce(address),
            )
            task_status.started(address)

    async def _announce(self, address: str) -> None:
        """Announce this daemon; announce it again once its relay listens."""
        if not self.relay.address:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._announcer.announce, address)
                await self.relay.listening.wait()
                nursery.cancel_scope.cancel()
        await self._announcer.announce(address, self.relay.address)

    def _list_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "catalog": self._catalog_follower.run,
            "runners": self._runner_follower.run,
            "members": self._member_follower.run,
            "entries": self._entry_refresher.run,
            "strikes": self._crash_follower.run,
            "quarantine": self.quarantine.run,
            "crash relay": self._crash_relay.run,
            "versions": self._rollouts.follower.run,
            "paths": self._runner_paths.run,
            "origins": self._origins.log.run,
            **({"migration": self._mover.run} if self._mover else {}),
            **self._duties,
        }

    def _build_discovery(self) -> None:
        ports = self._ports
        self._contact = contact.LogContact()
        self._catalog_store = catalog_store.create_store(ports.records)
        self._runner_directory = runner_directory.RunnerDirectory(
            ports.records, self._contact
        )
        self._runner_model = model.RunnerModel()
        self._capacity_memory = capacity_memory.create_capacity_memory(
            ports.log,
            ports.topics.rollouts,
            heartbeat_clock.HeartbeatClock(
                lambda: self._runner_follower.end,
                self._runner_directory.count,
            ),
            self._runner_model,
        )
        self._rollouts = rollout_parts.create_rollout_state(
            ports.log,
            self._contact,
            ports.topics,
            ports.records,
            self._rng,
            self._count_daemons,
            self._capacity_memory,
        )
        self._catalog_follower = keyed_follower.KeyedFollower(
            ports.log,
            self._contact,
            ports.topics.catalog,
            fan_out_sink.FanOutSink(
                catalog_sink.CatalogSink(
                    self._catalog_store, ports.topics.catalog_key
                ),
                self._rollouts.order_sink,
            ),
            read_schedules.CATALOG,
            self._uses_hubs,
            self._needs_log,
        )
        self._runner_follower = keyed_follower.KeyedFollower(
            ports.log,
            self._contact,
            ports.topics.runners,
            self._runner_directory,
            read_schedules.RUNNERS,
            self._relies_on_hub_reads,
            self._needs_log,
        )
        self._runner_follower.copy_age.observe = self.metrics.note_copy_age
        for follower in (self._catalog_follower, self._runner_follower):
            follower.on_unreadable = self.metrics.count_unusable_record
        self._runner_directory.on_unusable = lambda _: (
            self.metrics.count_unusable_record(ports.topics.runners)
        )
        drain_s = self._settings.bounds.drain_ms / _MS_PER_S
        self._entry_refresher = refresher.create_refresher(
            self._runner_follower,
            "runners' entries",
            max(_MIN_REFRESH_AGE_S, drain_s - _DRAIN_MARGIN_S),
        )

    def _build_relay(self) -> None:
        listen = self._settings.listen
        self._runner_paths = paths.RunnerPaths()
        self._runner_paths.on_change = self.metrics.note_lost_paths
        self._relay_peers = peers.RelayPeers(self.instance, self._rng)
        self._dialer = dialer.RunnerDialer(
            self._runner_paths,
            self._relay_peers,
            self.metrics.count_dialed_relay,
        )
        self.relay = server.RelayServer(
            listen.ip,
            listen.relay_port,
            self._runner_paths,
            self._runner_directory.has_address,
            self.metrics.count_served_relay,
            connection_limit.find_max_tunnels(self._settings.resources),
        )

    def _build_fleet(self) -> None:
        settings = self._settings
        listen = settings.listen
        self._fleet_view = view.FleetView(settings.instance)
        self._roster = roster.Roster(settings.instance)
        own_address = topology.PeerAddress(
            f"{listen.ip}:{listen.peer_port}",
            settings.zone,
            settings.link_mbps,
        )
        self.links = links.FleetLinks(
            own_address,
            self._fleet_view,
            state_copies.FleetState(
                self._catalog_store,
                self._runner_directory,
                self._runner_follower,
                self._contact,
            ),
            self._create_digest,
            announced=listen.peer_announce,
        )
        for seed in settings.seeds:
            host = seed.rpartition(":")[0]
            peer = topology.PeerAddress(f"{host}:{listen.peer_port}")
            self.links.add_peer(peer)
        self._member_follower = keyed_follower.KeyedFollower(
            self._ports.log,
            self._contact,
            self._ports.topics.members,
            announcements.MemberSink(
                self.instance,
                self._fleet_view,
                self.links,
                self._roster,
                self._relay_peers,
            ),
            read_schedules.MEMBERS,
            self._uses_hubs,
        )
        self._announcer = announcements.Announcer(
            self._ports.log,
            self._ports.topics.members,
            settings.instance,
            own_address,
            self._roster,
            self._member_follower.first_read,
        )

    def _notify_mesh_peers_soon(self) -> None:
        # Hubs report at fixed intervals, so an early digest to them would use
        # bandwidth and reach no daemon sooner.
        if self.links.is_mesh():
            self.links.notify_soon()

    def _create_initial_sync(self) -> initial_sync.InitialSync:
        sources = {
            "catalog": self._catalog_follower.first_read,
            "runners": self._runner_follower.first_read,
            "members": self._member_follower.first_read,
            "strikes": self._crash_follower.first_read,
            "versions": self._rollouts.follower.first_read,
        }
        return initial_sync.create_initial_sync(sources)

    async def _wait_initial_sync(self) -> None:
        # A method, since `_initial_sync` is built after the forwarder.
        await self._initial_sync.wait()

    def _count_daemons(self) -> int:
        # A method, since `_fleet_view` is built after its users.
        return self._fleet_view.count_daemons()

    def _uses_hubs(self) -> bool:
        # A method, since `links` is built after the followers.
        return not self.links.is_mesh()

    def _relies_on_hub_reads(self) -> bool:
        return not (self.links.leads_reading() or self._is_lease_held())

    def _needs_log(self) -> bool:
        # Orders of runners follow their entries without the delay of a hub.
        return self.links.needs_log() or self._is_lease_held()

    def _create_digest(self) -> messages.Digest:
        # A method, since `_state_gossip` is built after `links`.
        return self._state_gossip.create_digest()

    def _build_duties(self) -> None:
        settings = self._settings
        self._lease = lease.create_lease(
            self._ports.log,
            self._ports.topics.lease,
            self.member,
            settings.instance,
            settings.bounds.lease_ms / _MS_PER_S,
            self._fleet_view,
        )
        self._duties: dict[str, Callable[[], Awaitable[None]]] = {}
        if self._ports.cloud is not None and settings.platform.duties:
            sources = duty_parts.DutySources(
                ports=self._ports,
                settings=settings,
                lease=self._lease,
                store=self._catalog_store,
                directory=self._runner_directory,
                meter=self._demand_meter,
                ledger=self._loads,
                estimates=self._runner_model,
                usage=self._usage,
                fleet=self._fleet_view,
                limits=self._backpressure.limits,
                roster=self._roster,
                links=self.links,
                rollouts=self._rollouts,
                memory=self._capacity_memory,
                runners_read=self._runner_follower.first_read,
                is_unreachable=self._ejector.is_unreachable,
                speeds=self._speeds,
            )
            self._duties = duty_parts.list_tasks(sources, self._ports.cloud)

    def _build_state_gossip(self) -> None:
        settings = self._settings
        report_gossip = runner_report_gossip.RunnerReportGossip(
            self._backpressure.limits, self._backpressure.leaving
        )
        self._state_gossip = state_gossip.StateGossip(
            state_gossip.Identity(
                self.member,
                settings.instance,
                settings.zone,
                settings.link_mbps,
            ),
            state_gossip.StateSources(
                store=self._catalog_store,
                directory=self._runner_directory,
                contact=self._contact,
                quota_exchange=self._quota_exchange,
                listed=self._roster,
                loads=self._loads,
                backlogs=self._backlogs,
                runner_report_gossip=report_gossip,
                usage=self._usage,
                meter=self._demand_meter,
                estimates=self._runner_model,
                orders=self._rollouts.orders,
                trials=self._rollouts.trials,
                lease=self._lease,
                links=self.links,
                fleet=self._fleet_view,
                speeds=self._speeds,
            ),
        )
        self.links.listeners = links.Listeners(
            self._state_gossip.apply_digest,
            self._state_gossip.apply_report,
            self._state_gossip.change_mode,
            self._quota_exchange.apply_subscriber_digest,
            self._quota_exchange.create_update,
            self._quota_exchange.apply_update,
            self._quota_exchange.answer,
            self._quota_exchange.find_zone_end,
            report_gossip,
            self._crash_relay.apply_message,
            self._origins.log.apply_shared,
        )
        self._fleet_view.listen_for_ends(self._state_gossip.end_member)

    def _forget_runner(self, runner_id: str) -> None:
        """Drop what was measured and reported of a runner's former process."""
        self._ejector.forget(runner_id)
        self._loads.forget_runner(runner_id)
        self._speeds.forget_runner(runner_id)
        self._backpressure.admission.forget(runner_id)

    def _build_allowances(self) -> None:
        bounds = self._settings.bounds
        self._quota_ledger = quota_ledger.create_quota_ledger(
            _find_tolerance_bounds(bounds),
            refill_shares.RefillShares(
                lambda: refill_shares.RateShare(
                    self._roster.find_own_share(), self._roster.share_since
                ),
                bounds.allowance_window_s,
                self.links.find_sole_since,
            ),
            self.links.notify_quota_soon,
        )
        self.links.quota_client.observe = self.metrics.observe_quota_request
        self._allowance_gate = gate.create_gate(
            self._quota_ledger, self.links.quota_client
        )
        self._quota_exchange = quota_exchange.QuotaExchange(
            self.member,
            self._settings.zone,
            self._catalog_store,
            self._quota_ledger,
            self._allowance_gate,
            self._roster,
            self._member_follower,
            self.links,
        )

        self._allowance_gate.lacks_shares = self._quota_exchange.lacks_shares

    def _build_quarantine(self) -> None:
        topic = self._ports.topics.strikes
        self.quarantine = manager.create_quarantine_manager(
            self._ports.log, topic
        )
        self.quarantine.on_crash = self.metrics.count_crash
        self.quarantine.may_tidy = self._is_lease_held
        self.quarantine.may_clear = self.links.leads_reading
        self._crash_relay = record_relay.RecordRelay(
            self.links.send_to_zone,
            lambda: self._uses_hubs() and self.links.leads_reading(),
        )
        self._crash_follower = keyed_follower.KeyedFollower(
            self._ports.log,
            self._contact,
            topic,
            fan_out_sink.FanOutSink(self.quarantine, self._crash_relay),
            read_schedules.CRASH_RECORDS,
            self._uses_hubs,
            lambda: (
                self.links.needs_log() or self._crash_relay.is_read_needed()
            ),
        )
        self._crash_relay.follower = self._crash_follower
        self._crash_follower.on_unreadable = self.metrics.count_unusable_record

    def _build_origins(self) -> None:
        self._origins = origin_parts.create_origins(
            self._ports.log,
            self._ports.topics.origins,
            self._ports.topics.versions,
            self._catalog_store,
            self._runner_directory,
            self._runner_follower,
            self.links,
        )

    def _is_lease_held(self) -> bool:
        # A method, since `_lease` is built after its users.
        return self._lease.is_held()

    def _build_forwarding(self) -> None:
        bounds = self._settings.bounds
        self._loads = loads.LoadLedger()
        self._backlogs = backlog.BacklogLedger(
            is_gossiped=self._settings.load.overload_admission
        )
        self._demand_meter = demand.DemandMeter()
        self._speeds = speed_tracker.create_speed_tracker(
            is_enabled=self._settings.load.runner_speeds,
            on_change=self.metrics.count_speed_change,
        )
        streams = durations.StreamDurations()
        self._stop_window = stop_window.StopWindow(streams)
        self._usage = usage_counts.UsageCounts(bounds.window_s)
        self._ejector = ejection.Ejector()
        self._backpressure = backpressure_parts.create_backpressure(
            self.instance,
            self._roster,
            self._runner_directory.leaving,
            self.metrics.count_runner_signal,
            self._notify_mesh_peers_soon,
        )
        self._runner_directory.on_restart = self._forget_runner
        self._build_allowances()
        codec = self._ports.calls
        self._retries = retry_window.RetryWindow(
            _find_retry_bounds(bounds), self._fleet_view.count_daemons
        )
        self._mover = migration_parts.create_mover(
            self._settings,
            self._ports.engines,
            self._catalog_store,
            self._runner_directory,
            targets.TargetFinder(
                self._runner_directory,
                self._backpressure.admission,
                self._ejector,
                self._loads,
                self._fleet_view.is_zone_silent,
            ),
            self._entry_refresher.refresh,
            self.metrics,
        )
        quarantine = quarantine_filter.QuarantineFilter(
            self.quarantine,
            self._runner_directory,
            functools.partial(
                evidence.has_ended, opener=self._dialer.open_stream
            ),
        )
        parts = forwarder.ForwarderParts(
            store=self._catalog_store,
            directory=self._runner_directory,
            entries=self._entry_refresher,
            allowances=self._allowance_gate,
            placer=placer.Placer(
                self._settings.zone,
                self._runner_directory,
                self._loads,
                self._runner_model,
                self._ejector,
                self._rng,
                self._fleet_view.is_zone_silent,
                lambda: self._fleet_view.is_mesh,
                self._backpressure.admission,
                self._rollouts.versions.choose,
                self._speeds,
            ),
            attempts=attempt.AttemptMaker(
                codec,
                self._loads,
                self._usage,
                self._demand_meter,
                self._notify_mesh_peers_soon,
                self._backpressure.admission,
                self._speeds,
                self._backlogs,
                stream_relay.StreamRelay(
                    self._usage,
                    self._runner_model,
                    streams,
                    self._speeds,
                    self._origins.finder.note_begun,
                    quarantine.note_events,
                ),
                self._mover,
                self._dialer.open_stream,
            ),
            retries=self._retries,
            ejector=self._ejector,
            runner_admission=self._backpressure.admission,
            quarantine=quarantine,
            stop=self._stop_window,
            resumption=stream_resumption.StreamResumption(
                self._origins.finder, self._runner_directory, self.metrics
            ),
            trials=trial_recorder.TrialRecorder(
                self._rollouts.orders,
                self._rollouts.trials,
                self._rollouts.versions,
            ),
            overload=overload_parts.create_gate(
                self._settings.load,
                self._catalog_store,
                self._runner_directory,
                self._loads,
                self._backlogs,
                self._runner_model,
                self._demand_meter,
                overload_metrics.create_metrics(self.metrics.registry),
                self._rng,
                self._speeds.find,
            ),
            handovers=handover.Handovers(self.metrics),
            answer_budget=caller_budget.create_budget(
                self._settings.resources.memory_mb,
                caller_budget.ANSWER_SHARE,
            ),
            metrics=self.metrics,
            codec=codec,
            rng=self._rng,
            wait_until_read=self._wait_initial_sync,
        )
        self.listener = listener.CallerListener(
            self._settings.listen.callers,
            lambda: self._catalog_store.table.catalog.limits,
            codec,
            forwarder.Forwarder(parts),
            connection_limit.create_room(self._settings.resources),
        )


def create_parts(
    settings: gateway.GatewaySettings, ports: gateway_ports.GatewayPorts
) -> GatewayParts:
    """Return the parts, connected but not running."""
    return GatewayParts(settings, ports)


def _find_retry_bounds(
    bounds: gateway.BoundSettings,
) -> retry_window.RetryBounds:
    return retry_window.RetryBounds(
        bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
    )


def _find_tolerance_bounds(
    bounds: gateway.BoundSettings,
) -> terms.ToleranceBounds:
    return terms.ToleranceBounds(
        bounds.allowance_window_s,
        bounds.allowance_overrun,
        bounds.allowance_slack,
    )
