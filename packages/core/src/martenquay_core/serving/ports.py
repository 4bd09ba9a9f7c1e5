"""What a daemon needs of a platform, as typed interfaces.

A platform's adapter and the tests' fakes implement these. Failures say
whether the call took effect: not done, or unknown.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

    from martenquay_core.platform import outcome
    from martenquay_core.serving import calls, catalog, rollouts, runners

__all__ = [
    "Appended",
    "CallCodec",
    "CloudPort",
    "KeyedRecord",
    "LogPort",
    "Page",
    "PlatformCodec",
    "RunnerOrderLine",
    "Snapshot",
    "UsageReport",
]


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic.

    Attributes:
        offset: Its place in the topic.
        key: What it is about.
        value: The content; None if the key is dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Page:
    """Records from an offset on.

    Attributes:
        records: The payloads, in order; empty if the wait ran out.
        start: The offset of the first of them.
        end: The offset that the next record will get.
        is_lost: The log has dropped the records asked for.
    """

    records: tuple[bytes, ...]
    start: int
    end: int
    is_lost: bool = False


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The newest record of each key of a keyed topic.

    Attributes:
        records: One a key.
        end: Where to read on.
        unreadable: Records that were left out, for not even their keys could
            be read.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: int = 0


@dataclasses.dataclass(frozen=True)
class Appended:
    """What became of an append.

    Attributes:
        offset: The first record's offset; None if the topic's end was not
            the expected one and nothing was appended.
        end: The topic's end after the call.
    """

    offset: int | None
    end: int


class LogPort(Protocol):
    """The platform's log."""

    def set_address(self, address: str) -> None:
        """Make later calls at another address."""

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[Page, outcome.PlatformFailure]:
        """Return records from `start` on, waiting if there is none yet."""

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
        """Append all or nothing; only at `expected_end` if it is given."""

    def split_keyed(self, payload: bytes, offset: int) -> KeyedRecord:
        """Return the key and value of a keyed topic's payload.

        Raises:
            ValueError: The payload holds no key.
        """

    def join_keyed(self, key: str, value: bytes) -> bytes:
        """Return the payload of a keyed topic's record."""


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """The requests that began in one window.

    Attributes:
        window: The window's number.
        counts: Requests by team.
    """

    window: int
    counts: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class RunnerOrderLine:
    """The wanted number of runners of one kind in one zone.

    Attributes:
        service: Of which service.
        zone: In which availability zone.
        is_reclaimable: Of the cheap kind that may be taken back.
        wanted: How many.
    """

    service: str
    zone: str
    is_reclaimable: bool
    wanted: int


class CloudPort(Protocol):
    """The platform's cloud API; each call names its holder and fence."""

    def set_address(self, address: str) -> None:
        """Make later calls at another address."""

    async def report_usage(
        self, report: UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Report a window; return the HTTP status that answered."""

    async def order_runners(
        self, order: RunnerOrderLine, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Order runners; return the HTTP status that answered."""


class CallCodec(Protocol):
    """Translate requests and answers between wire names and ours."""

    def decode_call(
        self, method: str, target: str, headers: calls.Headers
    ) -> calls.Call:
        """Return a caller's request without its body."""

    def encode_order(
        self, call: calls.Call, order: calls.RunnerOrder
    ) -> calls.Headers:
        """Return the request headers for one attempt at a runner."""

    def decode_answer(
        self, status: int, headers: calls.Headers
    ) -> calls.AnswerHead:
        """Return the head of a runner's answer."""

    def encode_own_answer(
        self, call_id: str, retry_after_s: float | None
    ) -> calls.Headers:
        """Return the headers of an answer that no runner gave."""


class PlatformCodec(Protocol):
    """Translate the platform's records."""

    def decode_catalog(self, value: bytes) -> catalog.Catalog:
        """Return a configuration.

        Raises:
            ValueError: The record is malformed; says which field.
        """

    def decode_runner(self, key: str, value: bytes) -> runners.Runner:
        """Return a runner's entry.

        Raises:
            ValueError: The record is malformed; says which field.
        """

    def decode_rollout(
        self, key: str, value: bytes
    ) -> rollouts.RolloutOrder | None:
        """Return an operator's order; None if the record is about another.

        Raises:
            ValueError: The record is malformed; says which field.
        """

    def encode_rollout_status(
        self, status: rollouts.RolloutStatus
    ) -> tuple[str, bytes]:
        """Return the key and value that tell operators of an order."""
