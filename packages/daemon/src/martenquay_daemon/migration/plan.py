"""Decide which streams of a leaving engine to move, where to, in which order.

The load: an engine with up to 64 running requests gets a notice and ends about
2.4 s later, while answers take up to 12 s. A run that cannot be repeated is
lost with its engine, so such runs go first, and among them the largest, which
are the most expensive to compute again. All copies of an engine share its link.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from martenquay_core.serving import catalog

__all__ = [
    "LeavingEngine",
    "MovePlan",
    "PlannedMove",
    "PlannedStay",
    "StayReason",
    "StreamState",
    "TargetState",
    "estimate_copy_s",
    "plan_moves",
]

# Lengths of answers vary, and an engine may be slower by a factor of 2.5 for
# parts of a second; a stream of which half as much again fits is sure to end.
_REMAINING_FACTOR = 1.5
# The end of a reclaimed engine is known to about a tenth of a second; as much
# again is left for the calls.
_END_MARGIN_S = 0.2
# A notice reaches this daemon up to this much later, by the log's reads and a
# hub's reports, each 0.5 s apart, so less time is left than it seems. A move
# that was not needed costs two calls, a stream that stays too long its answer.
_NOTICE_DELAY_S = 1.0
# A run without an event may not have begun to be computed, and an engine may
# not know it yet. It is moved only when it is lost otherwise: a delayed notice,
# and 0.5 s for its calls and those of other streams, before the engine's end.
_UNBEGUN_MOVE_S = _NOTICE_DELAY_S + 0.5
# Two calls and the request to the target, each with a new connection: six
# round trips of 1 ms, and the time that an engine takes between two steps.
_CALLS_S = 0.05
# A copy within a zone costs half as much, and bytes between zones are charged.
_OTHER_ZONE_FACTOR = 2.0
# Loads are up to a second old. Targets whose loads differ by less than this
# share of their slots count as equal; a hash then spreads runs over them.
_LOAD_STEP = 0.25
# Each refused call has a price, and the time is better spent on other streams.
_MAX_TARGETS = 3
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6


class StayReason(enum.Enum):
    """Why a stream is not moved."""

    ENDS_IN_TIME = "it ends in time"
    NO_TARGET = "no other engine has room for it"
    NO_TIME = "the copy would not be complete in time"
    COPY_EXPIRES = "the copy would expire before it is used"
    NOT_BEGUN = "it has no event yet"


@dataclasses.dataclass(frozen=True)
class LeavingEngine:
    """The engine that leaves.

    Attributes:
        zone: Its availability zone.
        time_left_s: Seconds until it ends.
        traits: Size of its memory and bandwidth of its link.
        link_share: Share of its link that this daemon may assume; the rest
            is used for streams that other daemons relay.
    """

    zone: str
    time_left_s: float
    traits: catalog.EngineTraits
    link_share: float = 1.0


@dataclasses.dataclass(frozen=True)
class StreamState:
    """A stream that the engine serves.

    Attributes:
        id: Id of the request.
        tokens: Prompt and output tokens in the engine's memory.
        remaining_s: Expected seconds to its end; infinity if unknown.
        is_resumable: Another engine may compute it again when it breaks.
        has_begun: Its caller has an event.
        refused: Ids of engines that have refused a copy of it.
    """

    id: str
    tokens: int
    remaining_s: float
    is_resumable: bool
    has_begun: bool = True
    refused: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class TargetState:
    """An engine that may get streams.

    Attributes:
        id: Id of the runner.
        zone: Its availability zone.
        slots: Requests that it runs concurrently.
        requests: Requests that it runs or has queued.
    """

    id: str
    zone: str
    slots: int
    requests: int


@dataclasses.dataclass(frozen=True)
class PlannedMove:
    """A stream to move.

    Attributes:
        stream: The stream.
        targets: Ids of the engines to try, best first.
        copy_s: Expected seconds for copying all of its memory.
    """

    stream: StreamState
    targets: tuple[str, ...]
    copy_s: float


@dataclasses.dataclass(frozen=True)
class PlannedStay:
    """A stream that continues at the leaving engine.

    Attributes:
        stream: The stream.
        reason: Why it is not moved.
    """

    stream: StreamState
    reason: StayReason


@dataclasses.dataclass(frozen=True)
class MovePlan:
    """The decision about all streams of an engine.

    Attributes:
        moves: Streams to move, the first one first.
        stays: Streams that continue where they are.
    """

    moves: tuple[PlannedMove, ...]
    stays: tuple[PlannedStay, ...]


class _Room:
    """Free slots of the targets, less those of the moves planned so far."""

    def __init__(self, zone: str, targets: Iterable[TargetState]) -> None:
        self._zone = zone
        self._targets = {target.id: target for target in targets}
        self._planned = dict.fromkeys(self._targets, 0)

    def find_targets(self, stream: StreamState) -> list[TargetState]:
        """Return the targets for a stream, best first.

        A full engine may still have room for a run that is lost otherwise: the
        counts are old, and include requests that it has only queued.
        """
        possible = [
            target
            for target in self._targets.values()
            if target.id not in stream.refused
            and (not stream.is_resumable or self._has_slot(target))
        ]
        possible.sort(key=lambda target: self._rank(target, stream.id))
        return possible[:_MAX_TARGETS]

    def take(self, target: TargetState) -> None:
        """Count a slot of the target as used."""
        self._planned[target.id] += 1

    def _has_slot(self, target: TargetState) -> bool:
        return self._count_requests(target) < target.slots

    def _count_requests(self, target: TargetState) -> int:
        return target.requests + self._planned[target.id]

    def _rank(
        self, target: TargetState, stream_id: str
    ) -> tuple[bool, bool, int, int]:
        load = self._count_requests(target) / max(1, target.slots)
        return (
            not self._has_slot(target),
            target.zone != self._zone,
            math.floor(load / _LOAD_STEP),
            -rendezvous.score_candidate(stream_id, target.id),
        )


def plan_moves(
    engine: LeavingEngine,
    streams: Sequence[StreamState],
    targets: Sequence[TargetState],
) -> MovePlan:
    """Return what to do with the streams of a leaving engine.

    Args:
        engine: The leaving engine.
        streams: Its streams that this daemon relays and is not moving yet.
        targets: Engines that accept requests.
    """
    room = _Room(engine.zone, targets)
    moves: list[PlannedMove] = []
    stays: list[PlannedStay] = []
    used_s = 0.0
    for stream in sorted(streams, key=_get_order):
        possible = room.find_targets(stream)
        copy_s = _estimate_first_copy_s(engine, stream, possible)
        reason = _find_stay_reason(engine, stream, possible, used_s, copy_s)
        if reason is not None:
            stays.append(PlannedStay(stream, reason))
            continue
        used_s += copy_s
        room.take(possible[0])
        moves.append(
            PlannedMove(stream, tuple(one.id for one in possible), copy_s)
        )
    return MovePlan(tuple(moves), tuple(stays))


def estimate_copy_s(
    engine: LeavingEngine, tokens: int, *, is_other_zone: bool
) -> float:
    """Return the expected seconds for copying tokens to another engine."""
    traits = engine.traits
    bits = tokens * traits.kv_token_bytes * _BITS_PER_BYTE
    seconds = bits / (traits.link_mbps * _BITS_PER_MEGABIT * engine.link_share)
    return seconds * (_OTHER_ZONE_FACTOR if is_other_zone else 1.0)


def _get_order(stream: StreamState) -> tuple[bool, int, str]:
    return stream.is_resumable, -stream.tokens, stream.id


def _estimate_first_copy_s(
    engine: LeavingEngine,
    stream: StreamState,
    possible: Sequence[TargetState],
) -> float:
    is_other_zone = bool(possible) and possible[0].zone != engine.zone
    return estimate_copy_s(engine, stream.tokens, is_other_zone=is_other_zone)


def _find_stay_reason(
    engine: LeavingEngine,
    stream: StreamState,
    possible: Sequence[TargetState],
    used_s: float,
    copy_s: float,
) -> StayReason | None:
    """Return why a stream is not moved; None if it is.

    Args:
        engine: The leaving engine.
        stream: The stream.
        possible: Targets that have room for it.
        used_s: Time that the copies planned before it take.
        copy_s: Time that its own copy takes.
    """
    time_left_s = engine.time_left_s - _END_MARGIN_S
    needed_s = stream.remaining_s * _REMAINING_FACTOR + _NOTICE_DELAY_S
    if needed_s <= time_left_s:
        return StayReason.ENDS_IN_TIME
    if not stream.has_begun and (
        stream.is_resumable or engine.time_left_s > _UNBEGUN_MOVE_S
    ):
        return StayReason.NOT_BEGUN
    if not possible:
        return StayReason.NO_TARGET
    if copy_s >= engine.traits.kv_handle_s:
        return StayReason.COPY_EXPIRES
    if used_s + copy_s + _CALLS_S > time_left_s:
        return StayReason.NO_TIME
    return None
