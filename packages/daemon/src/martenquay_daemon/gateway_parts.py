"""Build the parts of a daemon that serves on a platform."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING

import trio

from martenquay_daemon import supervision
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
    first_reading,
    joint_sink,
    keyed_follower,
    paces,
    refresher,
    runner_directory,
)
from martenquay_daemon.duties import lease, usage_counts
from martenquay_daemon.duties import parts as duty_parts
from martenquay_daemon.engines import demand, durations, loads, model, placer
from martenquay_daemon.fleet import (
    announcements,
    links,
    quota_exchange,
    roster,
    runner_report_gossip,
    state_copies,
    state_gossip,
    topology,
    view,
)
from martenquay_daemon.forwarding import (
    attempt,
    content_guard,
    forwarder,
    listener,
    metrics,
    retry_window,
    stop_window,
    trial_notes,
)
from martenquay_daemon.limits import ejection
from martenquay_daemon.quarantine import manager
from martenquay_daemon.rollouts import parts as rollout_parts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.settings import gateway
    from martenquay_daemon import gateway_ports
    from martenquay_daemon.fleet import messages

__all__ = ["GatewayParts", "create_parts"]

_MS = 1000
# What is left of the bound on leaving runners when entries are read before
# use: for that read (0.15 s), for choosing again after a runner that takes no
# connection (0.1 s each), and for packets that are sent a second time (0.2 s).
_DRAIN_RESERVE_S = 1.0
# Reads come every 0.5 s in a small fleet.
_LEAST_AGE_S = 0.7


class GatewayParts:
    """The connected parts.

    Attributes:
        instance: The entry instance's name.
        member: This process's id.
        links: The links to other daemons.
        listener: Serves callers.
        metrics: Counts.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        ports: gateway_ports.GatewayPorts,
    ) -> None:
        self.instance = settings.instance
        self._settings = settings
        self._ports = ports
        self._is_stopping = False
        # A process that starts again is another member: it has forgotten
        # what it has spent and counted.
        self.member = f"{settings.instance}.{secrets.token_hex(4)}"
        self._rng = random.Random(settings.instance)
        self.metrics = metrics.create_metrics()
        self._build_discovery()
        self._build_fleet()
        self._build_quarantine()
        self._build_forwarding()
        self._build_duties()
        self._first_reading = self._create_first_reading()
        self._share_state()

    def is_ready(self) -> bool:
        """Tell whether callers are welcome."""
        return not self._is_stopping and self._store.version > 0

    def apply_settings(self, settings: gateway.GatewaySettings) -> None:
        """Take what can change without a new start.

        Addresses, zone and instance take effect at the next start.
        """
        bounds = settings.bounds
        self._retries.bounds = _find_retry_bounds(bounds)
        self._units.bounds = _find_tolerance(bounds)
        self._units.rights.window_s = bounds.allowance_window_s
        if settings.platform.log:
            self._ports.log.set_address(settings.platform.log)
        if self._ports.cloud is not None and settings.platform.cloud:
            self._ports.cloud.set_address(settings.platform.cloud)

    def find_retry_bounds(self) -> retry_window.RetryBounds:
        """Return how much may be sent again now."""
        return self._retries.bounds

    async def begin_stop(self, find_end: Callable[[], float]) -> None:
        """Turn callers away politely and hand over the duties.

        Args:
            find_end: Returns when all has to be over, in trio's time.
        """
        self._is_stopping = True
        self._stop_window.begin(find_end)
        self._shared.is_leaving = True
        self.listener.begin_closing()
        await self._lease.release()
        self.links.send_now()

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run everything but the listener and the readiness address."""
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self.links.run)
            for name, task in self._list_tasks().items():
                nursery.start_soon(supervision.keep_running, name, task)
            nursery.start_soon(
                supervision.keep_running,
                "announcement",
                lambda: self._announcer.announce(address),
            )
            task_status.started(address)

    def _list_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "catalog": self._catalog_follower.run,
            "runners": self._runner_follower.run,
            "members": self._member_follower.run,
            "entries": self._entries.run,
            "strikes": self._strike_follower.run,
            "quarantine": self._quarantine.run,
            "versions": self._rollouts.follower.run,
            **self._duties,
        }

    def _build_discovery(self) -> None:
        ports = self._ports
        self._contact = contact.LogContact()
        self._store = catalog_store.create_store(ports.records)
        self._directory = runner_directory.RunnerDirectory(
            ports.records, self._contact
        )
        self._rollouts = rollout_parts.create_rollout_state(
            ports.log,
            self._contact,
            ports.topics,
            ports.records,
            self._rng,
            self._count_daemons,
        )
        self._catalog_follower = keyed_follower.KeyedFollower(
            ports.log,
            self._contact,
            ports.topics.catalog,
            joint_sink.JointSink(
                catalog_sink.CatalogSink(self._store, ports.topics.catalog_key),
                self._rollouts.order_sink,
            ),
            paces.CATALOG,
            self._is_crowded,
            self._needs_log,
        )
        self._runner_follower = keyed_follower.KeyedFollower(
            ports.log,
            self._contact,
            ports.topics.runners,
            self._directory,
            paces.RUNNERS,
            self._reads_seldom,
            self._needs_log,
        )
        self._runner_follower.copy_age.observe = self.metrics.note_copy_age
        for follower in (self._catalog_follower, self._runner_follower):
            follower.on_unreadable = self.metrics.count_unusable_record
        self._directory.on_unusable = lambda _: (
            self.metrics.count_unusable_record(ports.topics.runners)
        )
        drain_s = self._settings.bounds.drain_ms / _MS
        self._entries = refresher.create_refresher(
            self._runner_follower,
            "runners' entries",
            max(_LEAST_AGE_S, drain_s - _DRAIN_RESERVE_S),
        )

    def _build_fleet(self) -> None:
        settings = self._settings
        listen = settings.listen
        self._view = view.FleetView(settings.instance)
        self._roster = roster.Roster(settings.instance)
        place = topology.PeerAddress(
            f"{listen.ip}:{listen.peer_port}",
            settings.zone,
            settings.link_mbps,
        )
        self.links = links.FleetLinks(
            place,
            self._view,
            state_copies.FleetState(
                self._store,
                self._directory,
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
            announcements.MemberSink(self._view, self.links, self._roster),
            paces.MEMBERS,
            self._is_crowded,
        )
        self._announcer = announcements.Announcer(
            self._ports.log,
            self._ports.topics.members,
            settings.instance,
            place,
            self._roster,
            self._member_follower.first_read,
        )

    def _tell_peers_soon(self) -> None:
        # Hubs report at their own pace; news for them sooner than that would
        # only cost bytes, which the control traffic of 400 daemons lacks.
        if self.links.is_mesh():
            self.links.notify_soon()

    def _create_first_reading(self) -> first_reading.FirstReading:
        sources = {
            "catalog": self._catalog_follower.first_read,
            "runners": self._runner_follower.first_read,
            "members": self._member_follower.first_read,
            "strikes": self._strike_follower.first_read,
            "versions": self._rollouts.follower.first_read,
        }
        return first_reading.create_first_reading(sources)

    async def _wait_until_read(self) -> None:
        # What it waits for is built after the forwarder.
        await self._first_reading.wait()

    def _count_daemons(self) -> int:
        # The view is built after what asks for it.
        return self._view.count_daemons()

    def _is_crowded(self) -> bool:
        # The links are built after what they hand on.
        return not self.links.is_mesh()

    def _reads_seldom(self) -> bool:
        return not self.links.leads_reading()

    def _needs_log(self) -> bool:
        return self.links.needs_log()

    def _create_digest(self) -> messages.Digest:
        # What it is made from is built after the links.
        return self._shared.create_digest()

    def _build_duties(self) -> None:
        settings = self._settings
        self._lease = lease.create_lease(
            self._ports.log,
            self._ports.topics.lease,
            self.member,
            settings.instance,
            settings.bounds.lease_ms / _MS,
            self._view,
        )
        self._duties: dict[str, Callable[[], Awaitable[None]]] = {}
        if self._ports.cloud is not None and settings.platform.duties:
            sources = duty_parts.DutySources(
                ports=self._ports,
                settings=settings,
                lease=self._lease,
                store=self._store,
                directory=self._directory,
                meter=self._meter,
                ledger=self._loads,
                estimates=self._estimates,
                usage=self._usage,
                fleet=self._view,
                limits=self._backpressure.limits,
                roster=self._roster,
                links=self.links,
                rollouts=self._rollouts,
            )
            self._duties = duty_parts.list_tasks(sources, self._ports.cloud)

    def _share_state(self) -> None:
        settings = self._settings
        news = runner_report_gossip.RunnerReportGossip(
            self._backpressure.limits, self._backpressure.leaving
        )
        self._shared = state_gossip.StateGossip(
            state_gossip.Identity(
                self.member,
                settings.instance,
                settings.zone,
                settings.link_mbps,
            ),
            state_gossip.StateSources(
                store=self._store,
                directory=self._directory,
                contact=self._contact,
                quota_exchange=self._unit_news,
                listed=self._roster,
                loads=self._loads,
                runner_report_gossip=news,
                usage=self._usage,
                meter=self._meter,
                estimates=self._estimates,
                orders=self._rollouts.orders,
                trials=self._rollouts.trials,
                lease=self._lease,
                links=self.links,
                fleet=self._view,
            ),
        )
        self.links.listeners = links.Listeners(
            self._shared.apply_digest,
            self._shared.apply_report,
            self._shared.change_mode,
            self._unit_news.apply_subscriber_digest,
            self._unit_news.create_update,
            self._unit_news.apply_update,
            self._unit_news.answer,
            self._unit_news.find_zone_end,
            news,
        )
        self._view.listen_for_ends(self._shared.end_member)

    def _forget_runner(self, runner_id: str) -> None:
        """Drop what was learnt of a runner's process before this one."""
        self._ejector.forget(runner_id)
        self._loads.forget_runner(runner_id)
        self._backpressure.admission.forget(runner_id)

    def _build_allowances(self) -> None:
        bounds = self._settings.bounds
        self._units = quota_ledger.create_quota_ledger(
            _find_tolerance(bounds),
            refill_shares.RefillShares(
                lambda: refill_shares.RateShare(
                    self._roster.find_own_share(), self._roster.share_since
                ),
                bounds.allowance_window_s,
                self.links.find_sole_since,
            ),
            self.links.notify_quota_soon,
        )
        self.links.quota_client.observe = self.metrics.note_units_asked
        self._gate = gate.create_gate(self._units, self.links.quota_client)
        self._unit_news = quota_exchange.QuotaExchange(
            self.member,
            self._settings.zone,
            self._store,
            self._units,
            self._gate,
            self._roster,
            self._member_follower,
            self.links,
        )

        self._gate.lacks_shares = self._unit_news.lacks_shares

    def _build_quarantine(self) -> None:
        topic = self._ports.topics.strikes
        self._quarantine = manager.create_quarantine_manager(
            self._ports.log, topic
        )
        self._quarantine.on_strike = self.metrics.count_strike
        self._quarantine.may_tidy = self._is_lease_held
        self._strike_follower = keyed_follower.KeyedFollower(
            self._ports.log,
            self._contact,
            topic,
            self._quarantine,
            paces.STRIKES,
            self._is_crowded,
        )
        self._strike_follower.on_unreadable = self.metrics.count_unusable_record

    def _is_lease_held(self) -> bool:
        # The lease is built after what asks for it.
        return self._lease.is_held()

    def _build_forwarding(self) -> None:
        bounds = self._settings.bounds
        self._loads = loads.LoadLedger()
        self._meter = demand.DemandMeter()
        self._estimates = model.RunnerModel()
        streams = durations.StreamDurations()
        self._stop_window = stop_window.StopWindow(streams)
        self._usage = usage_counts.UsageCounts(bounds.window_s)
        self._ejector = ejection.Ejector()
        self._backpressure = backpressure_parts.create_backpressure(
            self.instance,
            self._roster,
            self._directory.leaving,
            self.metrics.count_runner_signal,
            self._tell_peers_soon,
        )
        self._directory.on_restart = self._forget_runner
        self._build_allowances()
        codec = self._ports.calls
        self._retries = retry_window.RetryWindow(
            _find_retry_bounds(bounds), self._view.count_daemons
        )
        parts = forwarder.ForwarderParts(
            store=self._store,
            directory=self._directory,
            entries=self._entries,
            allowances=self._gate,
            placer=placer.Placer(
                self._settings.zone,
                self._directory,
                self._loads,
                self._estimates,
                self._ejector,
                self._rng,
                self._view.is_zone_silent,
                lambda: self._view.is_mesh,
                self._backpressure.admission,
                self._rollouts.versions.choose,
            ),
            attempts=attempt.AttemptMaker(
                codec,
                self._loads,
                self._usage,
                self._meter,
                self._estimates,
                streams,
                self._tell_peers_soon,
                self._backpressure.admission,
            ),
            retries=self._retries,
            ejector=self._ejector,
            runner_admission=self._backpressure.admission,
            guard=content_guard.ContentGuard(self._quarantine, self._directory),
            stop=self._stop_window,
            trials=trial_notes.TrialNotes(
                self._rollouts.orders,
                self._rollouts.trials,
                self._rollouts.versions,
            ),
            metrics=self.metrics,
            codec=codec,
            rng=self._rng,
            wait_until_read=self._wait_until_read,
        )
        self.listener = listener.CallerListener(
            self._settings.listen.callers,
            self._store,
            codec,
            forwarder.Forwarder(parts),
        )


def create_parts(
    settings: gateway.GatewaySettings, ports: gateway_ports.GatewayPorts
) -> GatewayParts:
    """Return the parts, connected and not yet running."""
    return GatewayParts(settings, ports)


def _find_retry_bounds(
    bounds: gateway.BoundSettings,
) -> retry_window.RetryBounds:
    return retry_window.RetryBounds(
        bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
    )


def _find_tolerance(bounds: gateway.BoundSettings) -> terms.ToleranceBounds:
    return terms.ToleranceBounds(
        bounds.allowance_window_s,
        bounds.allowance_overrun,
        bounds.allowance_slack,
    )
