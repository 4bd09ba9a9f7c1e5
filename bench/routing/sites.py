"""Put real routing parts of several daemons over fake engines."""

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

__all__ = ["Fleet", "Outcome", "Site"]

POOL = "model"
PARTNERS = ("serrana", "lindqvist")
DEADLINE_S = 60.0
_DAEMONS = 6
_LOAD_POLL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of one request.

    Attributes:
        partner: Whose it was.
        urgency: How long it might wait.
        at: When it came.
        first_s: Seconds to the first token; None if none came.
        gaps_s: Seconds between tokens.
        refused: It was not run.
        done_at: When it was whole; None if it was not.
    """

    partner: str
    urgency: objects.Urgency
    at: float
    first_s: float | None
    gaps_s: list[float]
    refused: bool
    done_at: float | None


class _TimingSink:
    """Note when tokens come."""

    def __init__(self) -> None:
        self.times: list[float] = []

    async def write_token(self, text: str) -> None:
        """Note the next token."""
        del text
        self.times.append(trio.current_time())


class Site:
    """The routing parts of one daemon."""

    def __init__(
        self,
        config: store.ConfigStore,
        partner: str,
        zone: str,
        policy: str,
        client: Any,
        seed: str,
    ) -> None:
        me = messages.MemberUpdate(
            member=f"{partner}.{zone}.{seed}",
            partner=partner,
            zone=zone,
            address=seed,
        )
        rng = random.Random(seed)
        self.partner = partner
        self.members = table.MemberTable(me, 5)
        self.runners = directory.RunnerDirectory(config, self.members)
        self.loads = loads.LoadBook(_LOAD_POLL_S)
        self.index = prefixes.PrefixIndex()
        ejector = ejection.Ejector()
        self._config = config
        self._gate = route_directory.RouteDirectory(
            partner, config, self.runners, self.members
        )
        self.admission = admission.Admission(self._gate.find_capacity)
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
            me.member,
            _LOAD_POLL_S,
        )

    async def serve(self, name: str, arrival: workloads.Arrival) -> Outcome:
        """Serve one request as the caller gateway does."""
        at = trio.current_time()
        known = self._gate.find_route(arrival.urgency.value, arrival.team).ok
        team = teams.KnownTeam(
            arrival.team, self._config.find_team(self.partner, arrival.team)
        )
        cost = blocks.count_tokens(arrival.prompt) + arrival.max_tokens
        permit = await self.admission.enter(
            self._gate.build_ask(team, known, cost)
        )
        if permit.is_error():
            return Outcome(
                self.partner, arrival.urgency, at, None, [], True, None
            )
        sink = _TimingSink()
        request = request_progress.ModelRequest(
            name,
            self.partner,
            POOL,
            arrival.urgency,
            arrival.prompt,
            arrival.max_tokens,
            at + DEADLINE_S,
        )
        try:
            answered = await self.dispatcher.answer(request, sink)
        finally:
            self.admission.leave(permit.ok)
        times = sink.times
        gaps_s = [after - before for before, after in itertools.pairwise(times)]
        [after - before for before, after in itertools.pairwise(times)]
        return Outcome(
            self.partner,
            arrival.urgency,
            at,
            times[0] - at if times else None,
            gaps_s,
            answered.is_error(),
            trio.current_time() if answered.is_ok() else None,
        )


class Fleet:
    """Both partners' daemons and runners.

    Attributes:
        sites: The daemons by partner.
        engines: The engines by address.
        tally: What the engines computed.
    """

    def __init__(
        self,
        policy: str,
        engine_model: engines.EngineModel,
        runners_each: int,
        share: float,
    ) -> None:
        self.tally = engines.Tally()
        self.engines: dict[str, engines.FakeEngine] = {}
        self._model = engine_model
        self._runners: dict[str, instances.Instance] = {}
        self._config = _build_config(share)
        client = engines.FakeEngineClient(self.engines)
        self.sites = {
            partner: [
                Site(
                    self._config,
                    partner,
                    f"{partner}-{'abc'[number % 3]}",
                    policy,
                    client,
                    f"{partner}-{number}",
                )
                for number in range(_DAEMONS)
            ]
            for partner in PARTNERS
        }
        for sites in self.sites.values():
            for site in sites:
                for other in sites:
                    site.members.merge(other.members.me)
        for partner in PARTNERS:
            for number in range(runners_each):
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
        self._publish()

    def give_notice(self, name: str) -> None:
        """Announce a reclaim to all daemons, as the links do."""
        for sites in self.sites.values():
            for site in sites:
                site.members.merge(messages.RunnerLeaving(name))

    def kill(self, name: str) -> None:
        """End a runner and take it off the list."""
        self.engines[name].dead = True
        self._runners.pop(name, None)
        self._publish()

    def list_zone(self, partner: str, zone: str) -> list[str]:
        """Return the runners of a zone."""
        return [
            name
            for name, runner in self._runners.items()
            if runner.partner == partner and runner.zone == zone
        ]

    def _publish(self) -> None:
        for sites in self.sites.values():
            for site in sites:
                site.runners.replace_all(list(self._runners.values()))


def _build_config(share: float) -> store.ConfigStore:
    keys = {partner: records.generate_key() for partner in PARTNERS}
    verifier = records.create_verifier(
        {partner: public for partner, (_, public) in keys.items()}
    )
    config = store.ConfigStore(list(PARTNERS), verifier)
    for partner in PARTNERS:
        signer = records.create_signer(partner, keys[partner][0])
        for kind, name, fields in _list_objects(partner, share):
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


def _list_objects(
    partner: str, share: float
) -> list[tuple[objects.Kind, str, dict[str, Any]]]:
    kind = objects.Kind
    found: list[tuple[objects.Kind, str, dict[str, Any]]] = [
        (kind.POOL, POOL, {"kind": "model"})
    ]
    for number in range(5):
        fields = {
            "credential": "sha256:" + f"{number}" * 64,
            "concurrency": 5000,
            "token_rate": 1e7,
        }
        found.append((kind.TEAM, f"team-{number}", fields))
    for urgency in objects.Urgency:
        fields = {
            "pool": POOL,
            "urgency": urgency.value,
            "deadline_s": DEADLINE_S,
        }
        found.append((kind.ROUTE, urgency.value, fields))
    if share:
        other = PARTNERS[1 - PARTNERS.index(partner)]
        fields = {"pool": POOL, "to": other, "serves": POOL, "fraction": share}
        found.append((kind.SHARE, "lend", fields))
    return found
