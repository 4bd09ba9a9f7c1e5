"""Build fleets of daemons' routing components with simulated engines."""

from __future__ import annotations

import dataclasses
import itertools
import random
from typing import Any

import trio

from bench.routing import engines, policies, workloads
from martenquay_core.config import objects, records
from martenquay_core.peers import messages
from martenquay_core.platform import instances
from martenquay_core.util import blocks
from martenquay_daemon.callers import route_directory, teams
from martenquay_daemon.configuration import store
from martenquay_daemon.dispatch import model, registry, request_progress
from martenquay_daemon.limits import admission, ejection, retries
from martenquay_daemon.membership import directory, table
from martenquay_daemon.routing import feeds, loads, placement, prefixes
from martenquay_daemon.util import metrics

__all__ = ["Fleet", "Outcome", "RoutingDaemon"]

POOL = "model"
PARTNERS = ("serrana", "lindqvist")
DEADLINE_S = 60.0
_DAEMONS_PER_PARTNER = 6
_LOAD_POLL_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of one request.

    Attributes:
        partner: Partner that sent the request.
        urgency: Urgency of the request's route.
        arrived_at: Virtual time of the request's arrival in seconds.
        ttft_s: Time to first token; None if there was none.
        token_gaps_s: Times between tokens.
        refused: The request was refused or failed.
        completed_at: Virtual time of its completion; None if it failed.
    """

    partner: str
    urgency: objects.Urgency
    arrived_at: float
    ttft_s: float | None
    token_gaps_s: list[float]
    refused: bool
    completed_at: float | None


class _TokenTimeRecorder:
    """Sink that records the times at which tokens arrive."""

    def __init__(self) -> None:
        self.token_times: list[float] = []

    async def write_token(self, text: str) -> None:
        """Record the time of the next token."""
        del text
        self.token_times.append(trio.current_time())


class RoutingDaemon:
    """Routing, admission and dispatch components of one daemon."""

    def __init__(
        self,
        config: store.ConfigStore,
        partner: str,
        zone: str,
        policy: str,
        client: Any,
        seed: str,
    ) -> None:
        own_update = messages.MemberUpdate(
            member=f"{partner}.{zone}.{seed}",
            partner=partner,
            zone=zone,
            address=seed,
        )
        rng = random.Random(seed)
        self.partner = partner
        self.members = table.MemberTable(own_update, 5)
        self.runners = directory.RunnerDirectory(config, self.members)
        self.loads = loads.LoadBook(_LOAD_POLL_INTERVAL_S)
        self.index = prefixes.PrefixIndex()
        ejector = ejection.Ejector()
        self._config = config
        self._routes = route_directory.RouteDirectory(
            partner, config, self.runners, self.members
        )
        self.admission = admission.Admission(self._routes.find_capacity)
        placer: Any = placement.Placer(
            zone, self.runners, self.loads, self.index, ejector, rng
        )
        if policy != policies.POLICIES[0]:
            placer = policies.BaselinePlacer(
                policy, self.runners, self.loads, self.index, rng
            )
        self.dispatcher = model.ModelDispatcher(
            client,
            placer,
            self.loads,
            self.index,
            ejector,
            retries.RetryBudget(0.1),
            registry.RequestRegistry(),
            metrics.create_metrics(),
        )
        self.runners.listen_for_leaving(self.dispatcher.move_streams)
        self.feeds = feeds.RunnerFeeds(
            client,
            self.runners,
            config,
            self.loads,
            self.index,
            own_update.member,
            _LOAD_POLL_INTERVAL_S,
        )

    async def serve(self, name: str, arrival: workloads.Arrival) -> Outcome:
        """Admit and dispatch a request as the caller gateway does."""
        arrived_at = trio.current_time()
        route = self._routes.find_route(arrival.urgency.value, arrival.team).ok
        team = teams.KnownTeam(
            arrival.team, self._config.find_team(self.partner, arrival.team)
        )
        cost = blocks.count_tokens(arrival.prompt) + arrival.max_tokens
        permit = await self.admission.enter(
            self._routes.build_ask(team, route, cost)
        )
        if permit.is_error():
            return Outcome(
                self.partner, arrival.urgency, arrived_at, None, [], True, None
            )
        recorder = _TokenTimeRecorder()
        request = request_progress.ModelRequest(
            name,
            self.partner,
            POOL,
            arrival.urgency,
            arrival.prompt,
            arrival.max_tokens,
            arrived_at + DEADLINE_S,
        )
        try:
            answered = await self.dispatcher.answer(request, recorder)
        finally:
            self.admission.leave(permit.ok)
        times = recorder.token_times
        token_gaps_s = [
            after - before for before, after in itertools.pairwise(times)
        ]
        [after - before for before, after in itertools.pairwise(times)]
        return Outcome(
            self.partner,
            arrival.urgency,
            arrived_at,
            times[0] - arrived_at if times else None,
            token_gaps_s,
            answered.is_error(),
            trio.current_time() if answered.is_ok() else None,
        )


class Fleet:
    """Daemons and runners of both partners.

    Attributes:
        daemons: Daemons by partner.
        engines: Engines by address.
        tally: Prompt tokens that the engines computed.
    """

    def __init__(
        self,
        policy: str,
        engine_model: engines.EngineModel,
        runners_per_partner: int,
        lent_fraction: float,
    ) -> None:
        self.tally = engines.TokenTally()
        self.engines: dict[str, engines.FakeEngine] = {}
        self._model = engine_model
        self._runners: dict[str, instances.Instance] = {}
        self._config = _build_config(lent_fraction)
        client = engines.FakeEngineClient(self.engines)
        self.daemons = {
            partner: [
                RoutingDaemon(
                    self._config,
                    partner,
                    f"{partner}-{'abc'[number % 3]}",
                    policy,
                    client,
                    f"{partner}-{number}",
                )
                for number in range(_DAEMONS_PER_PARTNER)
            ]
            for partner in PARTNERS
        }
        for daemons in self.daemons.values():
            for daemon in daemons:
                for other in daemons:
                    daemon.members.merge(other.members.me)
        for partner in PARTNERS:
            for number in range(runners_per_partner):
                self.add_runner(partner, number)

    def add_runner(self, partner: str, number: int) -> None:
        """Add a runner with an empty cache."""
        name = f"{partner}-model-{number}"
        self.engines[name] = engines.FakeEngine(self._model, self.tally)
        self._runners[name] = instances.Instance(
            name=name,
            kind=instances.InstanceKind.RUNNER,
            partner=partner,
            zone=f"{partner}-{'abc'[number % 3]}",
            address=name,
            pool=POOL,
            slots=self._model.slots,
        )
        self._update_directories()

    def announce_reclaim(self, name: str) -> None:
        """Notify all daemons that a runner is about to be reclaimed."""
        for daemons in self.daemons.values():
            for daemon in daemons:
                daemon.members.merge(messages.RunnerLeaving(name))

    def kill(self, name: str) -> None:
        """Kill a runner's engine and remove it from the instance list."""
        self.engines[name].is_dead = True
        self._runners.pop(name, None)
        self._update_directories()

    def list_zone(self, partner: str, zone: str) -> list[str]:
        """Return the names of a partner's runners in a zone."""
        return [
            name
            for name, runner in self._runners.items()
            if runner.partner == partner and runner.zone == zone
        ]

    def _update_directories(self) -> None:
        for daemons in self.daemons.values():
            for daemon in daemons:
                daemon.runners.replace_all(list(self._runners.values()))


def _build_config(lent_fraction: float) -> store.ConfigStore:
    keys = {partner: records.generate_key() for partner in PARTNERS}
    verifier = records.create_verifier(
        {partner: public for partner, (_, public) in keys.items()}
    )
    config = store.ConfigStore(list(PARTNERS), verifier)
    for partner in PARTNERS:
        signer = records.create_signer(partner, keys[partner][0])
        for kind, name, fields in _create_objects(partner, lent_fraction):
            offset = config.applied.value + 1
            change = records.Change(
                partner,
                "bench",
                f"{kind}-{name}",
                partner,
                kind,
                name,
                0,
                fields,
            )
            config.apply(offset, records.encode_change(change, signer))
    return config


def _create_objects(
    partner: str, lent_fraction: float
) -> list[tuple[objects.Kind, str, dict[str, Any]]]:
    kind = objects.Kind
    created: list[tuple[objects.Kind, str, dict[str, Any]]] = [
        (kind.POOL, POOL, {"kind": "model"})
    ]
    for number in range(5):
        fields = {
            "credential": "sha256:" + f"{number}" * 64,
            "concurrency": 5000,
            "token_rate": 1e7,
        }
        created.append((kind.TEAM, f"team-{number}", fields))
    for urgency in objects.Urgency:
        fields = {
            "pool": POOL,
            "urgency": urgency.value,
            "deadline_s": DEADLINE_S,
        }
        created.append((kind.ROUTE, urgency.value, fields))
    if lent_fraction:
        other = PARTNERS[1 - PARTNERS.index(partner)]
        fields = {
            "pool": POOL,
            "to": other,
            "serves": POOL,
            "fraction": lent_fraction,
        }
        created.append((kind.SHARE, "lend", fields))
    return created
