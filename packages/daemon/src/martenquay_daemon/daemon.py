"""Put one daemon together and run it until it is told to stop."""

from __future__ import annotations

import dataclasses
import random
import secrets
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.config import records
from martenquay_core.peers import messages
from martenquay_core.platform import instances, log
from martenquay_core.runners import engine
from martenquay_core.util import http, server
from martenquay_daemon import answers
from martenquay_daemon.callers import app as caller_app
from martenquay_daemon.callers import gate, teams
from martenquay_daemon.claims import desk as claim_desk
from martenquay_daemon.configuration import changes, follower, publisher, store
from martenquay_daemon.deferrable import desk as deferrable_desk
from martenquay_daemon.deferrable import worker
from martenquay_daemon.dispatch import book, model, service
from martenquay_daemon.journal import health, shards
from martenquay_daemon.limits import admission, ejection, retries
from martenquay_daemon.membership import directory, links, table
from martenquay_daemon.operators import app as operator_app
from martenquay_daemon.operators import commands, queries
from martenquay_daemon.routing import feeds, loads, placement, prefixes
from martenquay_daemon.util import metrics

if TYPE_CHECKING:
    from martenquay_core.settings import models

__all__ = ["Addresses", "Daemon"]

_LOG = logs.create_log("daemon")
_DRAIN_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Addresses:
    """Where a running daemon listens.

    Attributes:
        callers: For callers' HTTP.
        operators: For operators' HTTP.
        peers: For links from other daemons.
    """

    callers: str
    operators: str
    peers: str


class Daemon:
    """One daemon of one entry instance.

    Attributes:
        settings: Its settings.
        readiness: Whether callers are welcome.
        member: The id under which other daemons know this process.
    """

    def __init__(self, settings: models.DaemonSettings) -> None:
        self.settings = settings
        self.readiness = caller_app.Readiness()
        # A process that starts again is another member: it has forgotten
        # which calls it made.
        self.member = f"{settings.instance}.{secrets.token_hex(4)}"
        self._stop = trio.Event()
        self._close = trio.Event()
        self._stopped = trio.Event()

    async def wait_stopped(self) -> None:
        """Return once the daemon has finished what was in progress."""
        await self._stopped.wait()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop.set()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped, then finish what is in progress."""
        async with (
            http.open_client() as reusing,
            http.open_client() as platform,
            http.open_client(reuse=False) as fresh,
            trio.open_nursery() as nursery,
        ):
            parts = _Parts(self, platform, reusing, fresh, nursery)
            peer_address = await nursery.start(parts.peers.run)
            parts.announce_address(peer_address)
            await nursery.start(parts.claims.run)
            await nursery.start(parts.worker.run, parts.caller_app.perform)
            for task in parts.list_tasks():
                nursery.start_soon(task)
            addresses = await self._start_servers(parts, nursery, peer_address)
            nursery.start_soon(self._note_started, parts)
            _LOG.write(f"Daemon {self.member} serves {addresses.callers}.")
            task_status.started(addresses)
            await self._stop.wait()
            await self._drain(parts)
            self._stopped.set()
            nursery.cancel_scope.cancel()

    async def _start_servers(
        self, parts: _Parts, nursery: trio.Nursery, peer_address: str
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

    async def _note_started(self, parts: _Parts) -> None:
        await parts.config_follower.ready.wait()
        self.readiness.is_started = True
        offset = parts.config.applied.value
        _LOG.write(f"Ready with the configuration at {offset}.", offset=offset)

    async def _drain(self, parts: _Parts) -> None:
        """Stop in the order that cuts nothing off.

        First the balancer has to see that this daemon is not ready, then no
        more connections are taken, then what is in progress is finished.
        """
        timing = self.settings.timing
        self.readiness.is_stopping = True
        parts.members.announce_leaving()
        parts.worker.hand_over()
        _LOG.write("Stopping: not ready any more.")
        await trio.sleep(timing.drain_notice_s)
        self._close.set()
        with trio.move_on_after(timing.drain_limit_s) as limit:
            while self._count_unfinished(parts):
                await trio.sleep(_DRAIN_POLL_S)
        if limit.cancelled_caught:
            cut = self._count_unfinished(parts)
            _LOG.write(f"Stopped at the limit; cut off {cut} requests.")
        else:
            _LOG.write("Stopped; nothing was cut off.")

    def _count_unfinished(self, parts: _Parts) -> int:
        return (
            self.readiness.in_progress
            + parts.claims.count_unreported()
            + len(parts.requests.list_running())
        )


class _Parts:
    """The parts of one daemon, connected."""

    def __init__(
        self,
        daemon: Daemon,
        platform: http.HttpClient,
        reusing: http.HttpClient,
        fresh: http.HttpClient,
        nursery: trio.Nursery,
    ) -> None:
        settings = daemon.settings
        self._settings = settings
        self._log_client = log.LogClient(
            platform, settings.platform.log, settings.timing.log_timeout_s
        )
        self._instance_client = instances.create_client(
            platform, settings.platform.instances
        )
        self._engines = engine.EngineClient(reusing)
        self.metrics = metrics.create_metrics()
        self.health = health.LogHealth()
        self.requests = book.RequestBook()
        self._build_membership(daemon.member)
        self._build_configuration()
        self._build_routing()
        self._build_claims()
        self._build_dispatch(reusing, fresh)
        self._build_callers(daemon, nursery)
        self._build_operators()

    def announce_address(self, address: str) -> None:
        """Tell peers where this daemon's link listens."""
        me = self.members.me
        self.members.replace_me(
            messages.MemberUpdate(
                member=me.member,
                partner=me.partner,
                zone=me.zone,
                address=address,
            )
        )

    def list_tasks(self) -> list:
        """Return the tasks that run for as long as the daemon does."""
        return [
            self.config_follower.run,
            self._publisher.run,
            self._instance_follower.run,
            self._notice_follower.run,
            self._feeds.run,
        ]

    def _build_membership(self, member: str) -> None:
        settings = self._settings
        timing = settings.timing
        me = messages.MemberUpdate(
            member=member,
            partner=settings.partner,
            zone=settings.zone,
            address="",
        )
        ticks = max(1, round(timing.dead_after_s / timing.heartbeat_s))
        self.members = table.MemberTable(me, ticks)
        self._answers = answers.PeerAnswers()
        self.peers = links.PeerLinks(
            self.members, settings, self._answers.answer
        )

    def _build_configuration(self) -> None:
        settings = self._settings
        keys = {p.name: p.public_key for p in settings.partners}
        verifier = records.create_verifier(keys)
        signer = records.create_signer(settings.partner, settings.signing_key)
        self.config = store.ConfigStore(list(keys), verifier)
        self.config_follower = follower.ConfigFollower(
            self._log_client,
            self.health,
            self.config,
            verifier,
            self.members,
            self.peers,
        )
        self._publisher = publisher.SnapshotPublisher(
            self._log_client,
            self.config,
            signer,
            self.members,
            settings.timing.snapshot_s,
        )
        self._changes = changes.ChangeDesk(
            self._log_client,
            self.config,
            signer,
            self.members,
            self.peers,
            settings.find_zones(),
            settings.timing.spread_s,
        )

    def _build_routing(self) -> None:
        settings = self._settings
        self.runners = directory.RunnerDirectory(self.config, self.members)
        self._instance_follower = directory.InstanceFollower(
            self._instance_client,
            self.runners,
            self.peers,
            settings.timing.list_poll_s,
        )
        self._notice_follower = directory.NoticeFollower(
            self._instance_client, self.members
        )
        self.loads = loads.LoadBook(settings.timing.load_poll_s)
        self._index = prefixes.PrefixIndex()
        self.ejector = ejection.Ejector()
        self._budget = retries.RetryBudget(settings.limits.retry_share)
        self._placer = placement.Placer(
            settings.zone,
            self.runners,
            self.loads,
            self._index,
            self.ejector,
            random.Random(self.members.me.member),
        )
        self._feeds = feeds.RunnerFeeds(
            self._engines,
            self.runners,
            self.config,
            self.loads,
            self._index,
            settings.timing.load_poll_s,
        )

    def _build_claims(self) -> None:
        limits = self._settings.limits
        claim_map = shards.ShardMap(
            self.members, "claims", limits.claim_shards, limits.shard_followers
        )
        self.claims = claim_desk.ClaimDesk(
            self._log_client,
            self.health,
            claim_map,
            self.peers,
            self._settings.timing.commit_s,
            limits.full_outcomes,
        )

    def _build_dispatch(
        self, reusing: http.HttpClient, fresh: http.HttpClient
    ) -> None:
        self._models = model.ModelDispatcher(
            self._engines,
            self._placer,
            self.loads,
            self._index,
            self.ejector,
            self._budget,
            self.requests,
            self.metrics,
        )
        self.runners.listen_for_leaving(self._models.move_streams)
        self._services = service.ServiceDispatcher(
            reusing,
            fresh,
            self.runners,
            self.members,
            self.claims,
            self.loads,
            self.ejector,
            self._budget,
            self.requests,
            self.metrics,
        )

    def _build_callers(self, daemon: Daemon, nursery: trio.Nursery) -> None:
        settings = self._settings
        limits = settings.limits
        work_map = shards.ShardMap(
            self.members, "work", limits.work_shards, limits.shard_followers
        )
        self._gate = gate.Gate(
            settings.partner, self.config, self.runners, self.members
        )
        self.deferrable = deferrable_desk.DeferrableDesk(
            self._log_client,
            self.health,
            work_map,
            self.peers,
            self.config.applied,
            settings.timing.commit_s,
        )
        self.worker = worker.DeferrableWorker(
            self.deferrable,
            work_map,
            self.members,
            self.config.applied,
            retention_s=settings.platform.log_retention_s,
            workers=limits.deferrable_workers,
        )
        self.caller_app = caller_app.CallerApp(
            settings,
            daemon.readiness,
            teams.TeamDirectory(self.config, settings.partner),
            self._gate,
            admission.Admission(self._gate.find_capacity),
            self._models,
            self._services,
            self.deferrable,
            self.requests,
            self.metrics,
            nursery,
        )

    def _build_operators(self) -> None:
        query_desk = queries.QueryDesk(
            self.config,
            self.members,
            self.runners,
            self.loads,
            self.ejector,
            self.requests,
            self.deferrable,
            self.health,
            self.peers,
        )
        command_desk = commands.CommandDesk(
            self._settings.partner, self.config, self._changes
        )
        self.operator_app = operator_app.OperatorApp(
            self._settings, query_desk, command_desk
        )
        self._answers.connect(
            self.config, self.claims, self.deferrable, query_desk
        )
