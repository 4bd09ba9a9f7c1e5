"""Encode and decode the origins of streams as records of a log topic."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec

from martenquay_core.util import decoding

__all__ = [
    "OriginBatch",
    "StreamOrigin",
    "decode_batch",
    "decode_versions",
    "encode_batch",
    "encode_versions",
]

# Floats hold only these integers exactly; times are computed with them.
_MAX_INTEGER = 2**53
_TimeMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        request: Id of the request that brought its first event.
        service: The service that the request was forwarded to.
        software: Software version of the runner that wrote the event.
    """

    request: str
    service: str
    software: str


@dataclasses.dataclass(frozen=True)
class OriginBatch:
    """Origins that a daemon has written at once.

    Attributes:
        mixed_until_ms: Until when streams of two versions may be resumed, by
            service; in ms since the Unix epoch.
        origins: The streams that began.
    """

    mixed_until_ms: dict[str, int]
    origins: list[StreamOrigin]


class _ServicePart(msgspec.Struct, frozen=True, array_like=True):
    service: str
    mixed_until_ms: _TimeMs
    # Request ids by software version.
    requests: dict[str, list[str]]


def encode_batch(batch: OriginBatch) -> bytes:
    """Return the record of a batch; its services are those of the times."""
    parts = {
        service: _ServicePart(service, until_ms, {})
        for service, until_ms in batch.mixed_until_ms.items()
    }
    for origin in batch.origins:
        requests = parts[origin.service].requests
        requests.setdefault(origin.software, []).append(origin.request)
    return msgspec.json.encode(list(parts.values()))


def decode_batch(record: bytes) -> OriginBatch:
    """Return the batch that a record holds.

    Raises:
        ValueError: The record is malformed.
    """
    parts = decoding.decode_json(record, list[_ServicePart])
    return OriginBatch(
        {part.service: part.mixed_until_ms for part in parts},
        [
            StreamOrigin(request, part.service, software)
            for part in parts
            for software, requests in part.requests.items()
            for request in requests
        ],
    )


def encode_versions(last_listed_ms: dict[str, int | None]) -> bytes:
    """Return the value of a service's record of its versions.

    Args:
        last_listed_ms: When each version was last listed, in ms since the Unix
            epoch; None for those that still are.
    """
    return msgspec.json.encode(last_listed_ms)


def decode_versions(value: bytes) -> dict[str, int | None]:
    """Return what `encode_versions` has encoded.

    Raises:
        ValueError: The record is malformed.
    """
    return decoding.decode_json(value, dict[str, _TimeMs | None])
