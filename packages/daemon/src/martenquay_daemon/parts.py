"""Build and connect the parts of a daemon."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from martenquay_core.config import records
from martenquay_core.peers import messages
from martenquay_core.platform import instances, log
from martenquay_core.runners import engine
from martenquay_daemon import answers
from martenquay_daemon.callers import app as caller_app
from martenquay_daemon.callers import chats, route_directory, services, teams
from martenquay_daemon.claims import manager as claim_manager
from martenquay_daemon.configuration import changes, follower, publisher, store
from martenquay_daemon.deferrable import manager as deferrable_manager
from martenquay_daemon.deferrable import worker
from martenquay_daemon.dispatch import model, registry, service
from martenquay_daemon.journal import health, shards
from martenquay_daemon.limits import admission, ejection, retries
from martenquay_daemon.membership import directory, links, table
from martenquay_daemon.operators import app as operator_app
from martenquay_daemon.operators import commands, queries
from martenquay_daemon.routing import feeds, loads, placement, prefixes
from martenquay_daemon.util import metrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio

    from martenquay_core.settings import models
    from martenquay_core.util import http

__all__ = ["DaemonParts"]


class DaemonParts:
    """The parts of one daemon, connected.

    Attributes:
        members: Membership table of the daemons.
        peers: Links to other daemons.
        config: Current configuration.
        config_follower: Applies configuration changes from the log.
        claims: Settles claims on idempotency keys.
        deferrable: Accepts deferrable requests.
        worker: Runs deferrable requests.
        requests: Requests in progress.
        chats: Serves chat requests.
        caller_app: The callers' ASGI app.
        operator_app: The operators' ASGI app.
    """

    def __init__(
        self,
        settings: models.DaemonSettings,
        member: str,
        readiness: caller_app.Readiness,
        platform: http.HttpClient,
        reusing: http.HttpClient,
        fresh: http.HttpClient,
        nursery: trio.Nursery,
    ) -> None:
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
        self.requests = registry.RequestRegistry()
        self._build_membership(member)
        self._build_configuration()
        self._build_routing()
        self._build_claims()
        self._build_dispatch(reusing, fresh)
        self._build_callers(readiness, nursery)
        self._build_operators()

    def announce_address(self, address: str) -> None:
        """Publish the address on which this daemon accepts peer links."""
        me = self.members.me
        self.members.replace_me(
            messages.MemberUpdate(
                member=me.member,
                partner=me.partner,
                zone=me.zone,
                address=address,
            )
        )

    def list_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        return {
            "configuration": self.config_follower.run,
            "snapshots": self._publisher.run,
            "instances": self._instance_follower.run,
            "notices": self._notice_follower.run,
            "feeds": self._feeds.run,
        }

    def _build_membership(self, member: str) -> None:
        settings = self._settings
        timing = settings.timing
        me = messages.MemberUpdate(
            member=member,
            partner=settings.partner,
            zone=settings.zone,
            address="",
        )
        dead_after_heartbeats = max(
            1, round(timing.dead_after_s / timing.heartbeat_s)
        )
        self.members = table.MemberTable(me, dead_after_heartbeats)
        self._peer_requests = answers.PeerRequestHandler()
        self.peers = links.PeerLinks(
            self.members, settings, self._peer_requests.answer
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
        self._changes = changes.ChangeSubmitter(
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
            self.members.me.member,
            settings.timing.load_poll_s,
        )

    def _build_claims(self) -> None:
        limits = self._settings.limits
        claim_map = shards.ShardMap(
            self.members, "claims", limits.claim_shards, limits.shard_followers
        )
        self.claims = claim_manager.ClaimManager(
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

    def _build_callers(
        self, readiness: caller_app.Readiness, nursery: trio.Nursery
    ) -> None:
        settings = self._settings
        limits = settings.limits
        work_map = shards.ShardMap(
            self.members, "work", limits.work_shards, limits.shard_followers
        )
        self._routes = route_directory.RouteDirectory(
            settings.partner, self.config, self.runners, self.members
        )
        self.deferrable = deferrable_manager.DeferrableManager(
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
        known_teams = teams.TeamDirectory(self.config, settings.partner)
        admission_control = admission.Admission(self._routes.find_capacity)
        self.chats = chats.ChatHandler(
            settings.partner,
            known_teams,
            self._routes,
            admission_control,
            self._models,
            self.deferrable,
            self.requests,
            self.metrics,
        )
        service_handler = services.ServiceHandler(
            settings.partner,
            self._routes,
            admission_control,
            self._services,
            self.requests,
            nursery,
        )
        self.caller_app = caller_app.CallerApp(
            limits,
            readiness,
            known_teams,
            self.chats,
            service_handler,
            self.metrics,
        )

    def _build_operators(self) -> None:
        query_handler = queries.QueryHandler(
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
        command_handler = commands.CommandHandler(
            self._settings.partner, self.config, self._changes
        )
        self.operator_app = operator_app.OperatorApp(
            self._settings, query_handler, command_handler
        )
        self._peer_requests.connect(
            self.config, self.claims, self.deferrable, query_handler
        )
