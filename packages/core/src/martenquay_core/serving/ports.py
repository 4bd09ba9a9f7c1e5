"""Interfaces of the platform's log, cloud API, engines and codecs.

A platform's adapter and the test fakes implement them. A failure says whether
the call took effect: not done, or unknown.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

    from martenquay_core.platform import outcome
    from martenquay_core.serving import (
        calls,
        catalog,
        moves,
        rollouts,
        runners,
    )

__all__ = [
    "Appended",
    "CallCodec",
    "CloudPort",
    "EnginePort",
    "KeyedRecord",
    "LogPort",
    "Page",
    "PlatformCodec",
    "DesiredRunners",
    "Snapshot",
    "UsageReport",
]


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic.

    Attributes:
        offset: Offset in the topic.
        key: Key of the record.
        value: Content; None if the record deletes the key.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Page:
    """Consecutive records of a topic.

    Attributes:
        records: Payloads in offset order; empty if the wait timed out.
        start: Offset of the first record.
        end: Offset that the next appended record will get.
        is_lost: The requested records are past the log's retention.
    """

    records: tuple[bytes, ...]
    start: int
    end: int
    is_lost: bool = False


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The newest record of each key of a keyed topic.

    Attributes:
        records: One record for each key.
        end: Offset to continue reading from.
        unreadable: Number of records left out because their keys could not
            be decoded.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: int = 0


@dataclasses.dataclass(frozen=True)
class Appended:
    """Outcome of an append.

    Attributes:
        offset: Offset of the first record; None if the topic's end was not
            the expected one, so that nothing was appended.
        end: End offset of the topic after the call.
    """

    offset: int | None
    end: int


class LogPort(Protocol):
    """Client of the platform's log."""

    def set_address(self, address: str) -> None:
        """Make later calls at another address."""

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[Page, outcome.PlatformFailure]:
        """Return records from `start` on; wait up to `wait_s` for the first."""

    async def read_newest(
        self, topic: str
    ) -> Result[Snapshot, outcome.PlatformFailure]:
        """Return the newest record of each key of a keyed topic."""

    async def append(
        self,
        topic: str,
        payloads: list[bytes],
        *,
        expected_end: int | None = None,
    ) -> Result[Appended, outcome.PlatformFailure]:
        """Append atomically; if given, only while the end is `expected_end`."""

    def split_keyed(self, payload: bytes, offset: int) -> KeyedRecord:
        """Decode a keyed topic's payload into key and value.

        Raises:
            ValueError: The payload has no key.
        """

    def join_keyed(self, key: str, value: bytes) -> bytes:
        """Encode the key and value of a keyed topic's record."""


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Number of requests that started in one usage window.

    Attributes:
        window: Number of the window.
        counts: Requests by team.
    """

    window: int
    counts: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class DesiredRunners:
    """Desired number of a service's runners of one kind in one zone.

    Attributes:
        service: Name of the service.
        zone: Availability zone.
        is_reclaimable: Reclaimable runners; otherwise on-demand ones.
        wanted: Desired number of runners.
    """

    service: str
    zone: str
    is_reclaimable: bool
    wanted: int


class CloudPort(Protocol):
    """Client of the platform's cloud API.

    Each call carries the lease holder and its fencing token, so that the
    platform can refuse a former holder.
    """

    def set_address(self, address: str) -> None:
        """Make later calls at another address."""

    async def report_usage(
        self, report: UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Report a window's usage; return the HTTP status of the answer."""

    async def order_runners(
        self, order: DesiredRunners, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Order runners; return the HTTP status of the answer."""


class EnginePort(Protocol):
    """Client of the calls with which engines move runs to each other."""

    async def move_run(
        self, address: str, order: moves.MoveOrder, timeout_s: float
    ) -> moves.MoveAnswer:
        """Copy a run's KV cache from the engine at `address` to another."""

    async def free_copy(
        self, address: str, handle: str, timeout_s: float
    ) -> bool:
        """Free a copy at the engine at `address`; return whether it did."""


class CallCodec(Protocol):
    """Translate requests and answers to and from the platform's headers."""

    def decode_call(
        self, method: str, target: str, headers: calls.Headers
    ) -> calls.Call:
        """Decode a caller's request, without its body."""

    def encode_attempt(
        self, call: calls.Call, options: calls.AttemptOptions
    ) -> calls.Headers:
        """Return the request headers for one attempt at a runner."""

    def decode_answer(
        self, status: int, headers: calls.Headers
    ) -> calls.AnswerHead:
        """Decode the status and headers of a runner's answer."""

    def encode_own_answer(
        self, call_id: str, retry_after_s: float | None
    ) -> calls.Headers:
        """Return the headers of an answer that the daemon itself creates."""


class PlatformCodec(Protocol):
    """Decode and encode the records in the platform's log."""

    def decode_catalog(self, value: bytes) -> catalog.Catalog:
        """Decode a catalog.

        Raises:
            ValueError: The record is malformed; the message names the field.
        """

    def decode_runner(self, key: str, value: bytes) -> runners.Runner:
        """Decode a runner's entry.

        Raises:
            ValueError: The record is malformed; the message names the field.
        """

    def decode_rollout(
        self, key: str, value: bytes
    ) -> rollouts.RolloutOrder | None:
        """Decode an operator's order; None if the record is of another kind.

        Raises:
            ValueError: The record is malformed; the message names the field.
        """

    def encode_rollout_status(
        self, status: rollouts.RolloutStatus
    ) -> tuple[str, bytes]:
        """Return the key and value of a rollout's status record."""
