"""Build test data and scenes for admission under overload."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from martenquay_core.serving import catalog, ports
from martenquay_core.settings import gateway
from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    runner_directory,
)
from martenquay_daemon.engines import demand, loads, model, placer
from martenquay_daemon.forwarding import metrics as forwarding_metrics
from martenquay_daemon.overload import (
    backlog,
    gate,
    messages,
    metrics,
    parts,
    request,
)
from tests import serving_builders

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests import overload_days

__all__ = [
    "SERVICE",
    "SLOTS",
    "TRIES",
    "GateScene",
    "build_directory",
    "build_placement",
    "build_request",
    "build_store",
]

SERVICE = "model"
SLOTS = 16
TRIES = 200
_RUNNERS = 4
_SPEED = 25_000.0
_TEAM_RATE = 1000.0
_LARGE_TEAMS = 3
_TARGETS = {0: 0.6, 1: 1.2, 2: 0.6}


def build_request(**changes: Any) -> request.OverloadRequest:
    """Return a new request of the most urgent kind."""
    fields: dict[str, Any] = {
        "id": "call-1",
        "service": SERVICE,
        "route": "chat",
        "urgency": 0,
        "target_s": 0.6,
        "elapsed_s": 0.0,
        "remaining_s": 12.0,
    }
    return request.OverloadRequest(**(fields | changes))


def build_placement(**changes: Any) -> placer.Placement:
    """Return a placement on an engine without a queue."""
    fields: dict[str, Any] = {
        "runner": serving_builders.build_runner(service=SERVICE),
        "expected_s": 0.05,
        "uncached_tokens": 600,
        "considered": 4,
        "read_s": 0.03,
        "is_learnt": True,
    }
    return placer.Placement(**(fields | changes))


def build_store(
    kinds: Sequence[overload_days.Kind], teams: Sequence[str], slots: int
) -> catalog_store.CatalogStore:
    """Return a store with one service of engines and a route for each kind."""
    records = serving_builders.FakeRecords()
    records.catalogs[b"catalog"] = serving_builders.build_catalog(
        routes=tuple(
            serving_builders.build_route(
                name=kind.name,
                prefix=f"/{kind.name}/",
                kind=catalog.CallKind.STREAM,
                timeout_s=kind.deadline_s,
                target_s=kind.target_s,
                urgency=kind.urgency,
                destinations=(catalog.Destination(SERVICE),),
            )
            for kind in kinds
        ),
        services={
            SERVICE: serving_builders.build_service(
                name=SERVICE, engine=catalog.EngineTraits(slots, 500_000)
            )
        },
        teams=tuple(
            serving_builders.build_team(
                name=name,
                keys=(name,),
                rate=_TEAM_RATE * (6 if number < _LARGE_TEAMS else 1),
            )
            for number, name in enumerate(teams)
        ),
    )
    store = catalog_store.create_store(records)
    store.offer(b"catalog", "the test")
    return store


def build_directory(count: int, slots: int) -> runner_directory.RunnerDirectory:
    """Return a directory of engines `r-0`, `r-1`, ..."""
    records = serving_builders.FakeRecords()
    directory = runner_directory.RunnerDirectory(records, contact.LogContact())
    for number in range(count):
        value = b"%d" % number
        runner_id = f"r-{number}"
        records.runners[value] = serving_builders.build_runner(
            id=runner_id,
            service=SERVICE,
            address=f"127.0.0.1:{number}",
            slots=slots,
        )
        directory.apply_change(ports.KeyedRecord(number, runner_id, value))
    return directory


class GateScene:
    """A gate of one daemon over four engines, and what it decides by.

    Attributes:
        meter: Demand that the gate has counted.
        gate: The gate.
    """

    def __init__(self) -> None:
        self.meter = demand.DemandMeter()
        self._ledger = loads.LoadLedger()
        self._backlogs = backlog.BacklogLedger()
        self._reported: dict[int, messages.BacklogEntry] = {}
        self._estimates = model.RunnerModel()
        spread = 100 * 2000**2
        sums = model.PrefillSums(100, spread, spread / _SPEED)
        self._estimates.replace_source("fleet", {SERVICE: sums})
        records = serving_builders.FakeRecords()
        records.catalogs[b"catalog"] = serving_builders.build_catalog(
            routes=tuple(
                serving_builders.build_route(
                    name=f"route-{urgency}",
                    urgency=urgency,
                    target_s=target_s,
                    destinations=(catalog.Destination(SERVICE),),
                )
                for urgency, target_s in _TARGETS.items()
            ),
            services={
                "desk": serving_builders.build_service(),
                SERVICE: serving_builders.build_service(
                    name=SERVICE, engine=catalog.EngineTraits(SLOTS, 500_000)
                ),
            },
        )
        self._store = catalog_store.create_store(records)
        self._store.offer(b"catalog", "the test")
        self._directory = build_directory(_RUNNERS, SLOTS)
        created = self.create_gate(gateway.LoadSettings())
        assert created is not None, "it is on by default"
        self.gate: gate.OverloadGate = created

    def create_gate(
        self, settings: gateway.LoadSettings
    ) -> gate.OverloadGate | None:
        """Return a gate with other settings."""
        registry = forwarding_metrics.create_metrics().registry
        return parts.create_gate(
            settings,
            self._store,
            self._directory,
            self._ledger,
            self._backlogs,
            self._estimates,
            self.meter,
            metrics.create_metrics(registry),
            random.Random(1),
            lambda _: 1.0,
        )

    def set_backlog(self, urgency: int, seconds: float) -> None:
        """Report a queue that all engines need some seconds to prefill."""
        self._reported = {}
        self.add_backlog(urgency, seconds)

    def add_backlog(self, urgency: int, seconds: float) -> None:
        """Report one more queue beside those reported before."""
        tokens = round(seconds * _RUNNERS * _SPEED)
        # Many requests, so that those in progress hardly count.
        self._reported[urgency] = messages.BacklogEntry(200, tokens, 0)
        full = {
            9: messages.BacklogEntry(0, 0, round(_RUNNERS * _SPEED)),
        }
        self._backlogs.replace_source("fleet", {SERVICE: full | self._reported})

    def count_shed(
        self, placement: placer.Placement | None = None, **changes: Any
    ) -> int:
        """Return how many of `TRIES` equal requests are rejected."""
        urgency = changes.get("urgency", 0)
        asked = build_request(**({"target_s": _TARGETS[urgency]} | changes))
        placement = placement or build_placement()
        return sum(
            self.gate.check(asked, placement) is not None for _ in range(TRIES)
        )
