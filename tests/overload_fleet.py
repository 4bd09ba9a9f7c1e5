"""Build daemons with overload gates over simulated engines."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from typing import TYPE_CHECKING

from martenquay_core.serving import ports
from martenquay_core.settings import gateway
from martenquay_daemon.discovery import (
    contact,
    runner_directory,
)
from martenquay_daemon.engines import demand, loads, model, placer
from martenquay_daemon.forwarding import metrics as forwarding_metrics
from martenquay_daemon.limits import ejection
from martenquay_daemon.overload import (
    backlog,
    gate,
    messages,
    metrics,
    parts,
)
from tests import overload_builders, queue_engine
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tests import overload_days

__all__ = [
    "Daemon",
    "OverloadFleet",
]

_MAX_OVERESTIMATE_FACTOR = 1.5


@dataclasses.dataclass
class Sent:
    """A request that a daemon has sent to an engine."""

    job: queue_engine.Job
    runner_id: str
    move: Callable[[], None]

    def give_up(self) -> None:
        """End the request at its deadline if it has no first event."""
        self.job.end()


class Daemon:
    """Gate, placer and ledgers of one daemon."""

    def __init__(
        self, fleet: OverloadFleet, *, is_gated: bool, seed: int
    ) -> None:
        self.ledger = loads.LoadLedger()
        self.backlogs = backlog.BacklogLedger()
        self.estimates = model.RunnerModel()
        spread = 100 * 2000**2
        sums = model.PrefillSums(
            100, spread, spread / queue_engine.PREFILL_TOKENS_PER_S
        )
        self.estimates.replace_source(
            "fleet", {overload_builders.SERVICE: sums}
        )
        self._fleet = fleet
        self._placement: placer.Placement | None = None
        rng = random.Random(seed)
        self._placer = placer.Placer(
            "a",
            fleet.directory,
            self.ledger,
            self.estimates,
            ejection.Ejector(),
            rng,
            lambda _: False,
            lambda: True,
            builders.build_runner_admission(),
        )
        registry = forwarding_metrics.create_metrics().registry
        self._gate = parts.create_gate(
            gateway.LoadSettings(overload_admission=is_gated),
            fleet.store,
            fleet.directory,
            self.ledger,
            self.backlogs,
            self.estimates,
            demand.DemandMeter(),
            metrics.create_metrics(registry),
            rng,
            lambda _: 1.0,
        )

    def admit(
        self, asking: overload_days.Asking, remaining_s: float
    ) -> float | None:
        """Return after which time a rejected caller returns, or None."""
        self._placement = self._choose(asking)
        if self._gate is None:
            # The check of `forwarder.py` with the setting off.
            late_s = self._placement.expected_s / _MAX_OVERESTIMATE_FACTOR
            late_s -= remaining_s
            return max(0.25, late_s) if late_s > 0 else None
        asked = overload_builders.build_request(
            route=asking.kind.name,
            urgency=asking.kind.urgency,
            target_s=asking.kind.target_s,
            remaining_s=remaining_s,
            is_retrying=asking.tries > 1,
            team=self._fleet.teams[asking.team],
            units=float(asking.tokens),
        )
        shed: gate.Shed | None = self._gate.check(asked, self._placement)
        return None if shed is None else shed.retry_after_s

    def submit(
        self,
        asking: overload_days.Asking,
        schedule: Callable[[float, Callable[[], None]], None],
        on_first: Callable[[], None],
    ) -> Sent:
        """Send an admitted request to the engine that was chosen for it."""
        assert self._placement is not None, "the request was admitted"
        placement = self._placement
        context = contextlib.ExitStack()
        kind = asking.kind
        running = context.enter_context(
            self.ledger.count(
                placement.runner.id,
                asking.tokens,
                self.backlogs.begin(
                    overload_builders.SERVICE, kind.urgency, asking.tokens
                ),
            )
        )

        def note_first() -> None:
            running.note_first_event()
            self.estimates.note_end(overload_builders.SERVICE, kind.hold_s)
            on_first()

        job = queue_engine.Job(
            asking.tokens, kind.hold_s, note_first, context.close
        )

        def move() -> None:
            job.end()
            self._placement = self._choose(asking)
            self.submit(asking, schedule, on_first)

        engine = self._fleet.find_engine(placement.runner.id, schedule)
        engine.submit(kind.urgency, job)
        sent = Sent(job, placement.runner.id, move)
        self._fleet.sent.append(sent)
        return sent

    def _choose(self, asking: overload_days.Asking) -> placer.Placement:
        services = self._fleet.store.table.catalog.services
        placement = self._placer.choose(
            services[overload_builders.SERVICE],
            overload_builders.SERVICE,
            builders.build_call(tokens_in=asking.tokens),
            set(),
            asking.kind.target_s,
        )
        assert placement is not None, "there are engines"
        return placement


class OverloadFleet:
    """Daemons that gossip, and the engines behind them.

    Attributes:
        store: The catalog in force.
        directory: The engines' entries.
        teams: The teams by name.
        sent: Requests sent to engines.
    """

    def __init__(
        self,
        kinds: Sequence[overload_days.Kind],
        teams: Sequence[str],
        engines: int,
        slots: int,
        daemons: int,
        *,
        is_gated: bool,
        seed: int,
    ) -> None:
        self.store = overload_builders.build_store(kinds, teams, slots)
        self.teams = {t.name: t for t in self.store.table.catalog.teams}
        self.sent: list[Sent] = []
        self._slots = slots
        records = builders.FakeRecords()
        self.directory = runner_directory.RunnerDirectory(
            records, contact.LogContact()
        )
        self._engines: dict[str, queue_engine.QueueEngine] = {}
        self._ids = [f"r-{number}" for number in range(engines)]
        for number, runner_id in enumerate(self._ids):
            value = b"%d" % number
            records.runners[value] = builders.build_runner(
                id=runner_id,
                service=overload_builders.SERVICE,
                zone="a",
                address=f"127.0.0.1:{number}",
                slots=slots,
            )
            self.directory.apply_change(
                ports.KeyedRecord(number, runner_id, value)
            )
        self._daemons = [
            Daemon(self, is_gated=is_gated, seed=1000 * seed + number)
            for number in range(daemons)
        ]

    def choose_daemon(self, rng: random.Random, zone: int) -> Daemon:
        """Return a random daemon of a zone."""
        return rng.choice(self._daemons[zone::4])

    def find_engine(
        self,
        runner_id: str,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> queue_engine.QueueEngine:
        """Return an engine, which is started when it is first used."""
        if runner_id not in self._engines:
            self._engines[runner_id] = queue_engine.QueueEngine(
                self._slots, 1.0, schedule
            )
        return self._engines[runner_id]

    def is_idle(self) -> bool:
        """Return whether under half of the slots are used and none waits."""
        engines = self._engines.values()
        running = sum(engine.count_running() for engine in engines)
        queued = sum(engine.count_queued() for engine in engines)
        return queued == 0 and running < len(self._ids) * self._slots / 2

    def lose_half(self) -> list[Sent]:
        """End half of the engines; return what ran there."""
        lost = set(self._ids[: len(self._ids) // 2])
        self._ids = self._ids[len(self._ids) // 2 :]
        for number, runner_id in enumerate(sorted(lost)):
            self.directory.apply_change(
                ports.KeyedRecord(1000 + number, runner_id, None)
            )
            self._engines.pop(runner_id, None)
        return [
            sent
            for sent in self.sent
            if sent.runner_id in lost and not sent.job.is_over
        ]

    def take_loads(self) -> Callable[[], None]:
        """Return a function that applies the loads of now at all daemons."""
        own_loads = [
            {
                runner: dataclasses.replace(load)
                for runner, load in daemon.ledger.list_own().items()
            }
            for daemon in self._daemons
        ]
        own_backlogs = [daemon.backlogs.list_own() for daemon in self._daemons]
        total: dict[str, loads.RunnerLoad] = {}
        for own in own_loads:
            for runner, load in own.items():
                known = total.setdefault(runner, loads.RunnerLoad())
                known.requests += load.requests
                known.unread_tokens += load.unread_tokens
        backlog_total: messages.BacklogTable = {}
        for table in own_backlogs:
            messages.add_backlog(backlog_total, table, 1)

        def apply() -> None:
            for number, daemon in enumerate(self._daemons):
                own = own_loads[number]
                others = {}
                for runner, load in total.items():
                    mine = own.get(runner, loads.RunnerLoad())
                    others[runner] = loads.RunnerLoad(
                        load.requests - mine.requests,
                        load.unread_tokens - mine.unread_tokens,
                    )
                daemon.ledger.replace_source("fleet", others)
                rest = dict(backlog_total)
                messages.add_backlog(rest, own_backlogs[number], -1)
                daemon.backlogs.replace_source("fleet", rest)

        return apply
