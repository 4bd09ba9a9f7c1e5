"""Build test data for the migration of streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import exchange
from martenquay_daemon.migration import plan
from martenquay_daemon.migration import stream as streams
from tests import serving_builders

if TYPE_CHECKING:
    from martenquay_core.serving import runners

__all__ = [
    "EndlessConnection",
    "build_catalog",
    "build_leaving_engine",
    "build_stream",
    "build_target",
    "build_traits",
    "build_watched_stream",
]


class FakeConnection:
    """Connection whose stream is silent.

    Attributes:
        is_reading_stopped: Whether the body was made to end.
    """

    def __init__(self) -> None:
        self.last_activity_at = 0.0
        self.last_progress_at = 0.0
        self.has_peer_closed = False
        self.is_reading_stopped = False

    def stop_reading(self) -> None:
        """Record that the body has to end."""
        self.is_reading_stopped = True


class EndlessConnection(FakeConnection):
    """Connection whose stream never ends.

    Attributes:
        completes_events: Whether its bytes are events.
    """

    def __init__(self, *, completes_events: bool) -> None:
        self.completes_events = completes_events
        super().__init__()

    @property
    def last_activity_at(self) -> float:
        """The current time."""
        return trio.current_time()

    @last_activity_at.setter
    def last_activity_at(self, value: float) -> None:
        del value

    @property
    def last_progress_at(self) -> float:
        """The current time if the bytes are events."""
        return trio.current_time() if self.completes_events else 0.0

    @last_progress_at.setter
    def last_progress_at(self, value: float) -> None:
        del value


def build_watched_stream(
    source: runners.Runner, connection: FakeConnection | None = None
) -> streams.WatchedStream:
    """Return a stream over a connection, which is silent by default."""
    current = exchange.Exchange(
        call=serving_builders.build_call(),
        route=serving_builders.build_route(kind=catalog.CallKind.STREAM),
        team=None,
        service="desk",
        received_at=0.0,
        deadline=10.0,
        writer=None,
    )
    return streams.WatchedStream(
        current, source, connection or FakeConnection()
    )


def build_traits(**changes: Any) -> catalog.EngineTraits:
    """Return the traits of an engine of deployment B that can move runs."""
    fields: dict[str, Any] = {
        "slots": 16,
        "kv_tokens": 548_252,
        "can_move": True,
        "link_mbps": 88_000.0,
    }
    return catalog.EngineTraits(**(fields | changes))


def build_catalog(
    traits: catalog.EngineTraits | None = None, **route: Any
) -> catalog.Catalog:
    """Return a catalog with a route of streams that cannot be resumed."""
    fields: dict[str, Any] = {
        "kind": catalog.CallKind.STREAM,
        "timeout_s": 6.0,
        "max_attempts": 1,
    }
    service = serving_builders.build_service(engine=traits or build_traits())
    return serving_builders.build_catalog(
        routes=(serving_builders.build_route(**(fields | route)),),
        services={"desk": service},
        teams=(serving_builders.build_team(),),
    )


def build_leaving_engine(**changes: Any) -> plan.LeavingEngine:
    """Return an engine that has just got a notice of its reclaim."""
    fields: dict[str, Any] = {
        "zone": "a",
        "time_left_s": 2.4,
        "traits": build_traits(),
    }
    return plan.LeavingEngine(**(fields | changes))


def build_stream(**changes: Any) -> plan.StreamState:
    """Return a large stream that cannot be resumed and will not end in time."""
    fields: dict[str, Any] = {
        "id": "call-1",
        "tokens": 12_000,
        "remaining_s": 8.0,
        "is_resumable": False,
    }
    return plan.StreamState(**(fields | changes))


def build_target(**changes: Any) -> plan.TargetState:
    """Return an idle engine in the zone of the leaving one."""
    fields: dict[str, Any] = {
        "id": "engine-1",
        "zone": "a",
        "slots": 16,
        "requests": 0,
    }
    return plan.TargetState(**(fields | changes))
