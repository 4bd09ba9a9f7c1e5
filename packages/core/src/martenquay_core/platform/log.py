"""Client of the platform's log service.

The protocol is that of the log stand-in: msgpack bodies over HTTP. Another log
service needs another implementation of `LogClient.append` and `read`.
"""

from __future__ import annotations

import msgspec
from expression import Error, Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.util import decoding, http

__all__ = ["LogClient", "LogPage", "LogRecord", "create_client"]

_SERVICE_UNAVAILABLE = 503
_OK = 200
_DEFAULT_TIMEOUT_S = 3.0


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a stream.

    Attributes:
        offset: Offset in the stream; offsets only grow.
        payload: Content.
    """

    offset: int
    payload: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    Attributes:
        start: Lowest offset that the log still retains.
        end: Offset that the next appended record will get.
        records: Records in offset order.
    """

    start: int
    end: int
    records: list[LogRecord]


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class LogClient:
    """Appends to and reads from the log service."""

    def __init__(
        self,
        client: http.HttpClient,
        url: str,
        timeout_s: float = _DEFAULT_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s

    async def append(
        self, stream: str, payloads: list[bytes]
    ) -> Result[int, outcome.PlatformFailure]:
        """Append records contiguously and return the offset of the first.

        After a failure with `Effect.UNKNOWN` the records may be in the log
        already or appear later.
        """
        answer = await self._client.call(
            "POST",
            f"{self._url}/streams/{stream}",
            body=msgspec.msgpack.encode(payloads),
            timeout_s=self._timeout_s,
        )
        match answer:
            case Result(tag="ok", ok=http.Answer(status=200, body=body)):
                return Ok(decoding.decode_msgpack(body, _Appended).offset)
            case Result(tag="ok", ok=other):
                return Error(_describe_refusal(other))
            case _:
                return Error(outcome.describe_call_failure(answer.error))

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        wait_s: float = 0.0,
        limit: int = 1000,
    ) -> Result[LogPage, outcome.PlatformFailure]:
        """Read records from an offset on; wait up to `wait_s` for the first."""
        wait_ms = int(wait_s * 1000)
        query = f"from={from_offset}&limit={limit}&wait_ms={wait_ms}"
        answer = await self._client.call(
            "GET",
            f"{self._url}/streams/{stream}?{query}",
            timeout_s=self._timeout_s + wait_s,
        )
        match answer:
            case Result(tag="ok", ok=http.Answer(status=200, body=body)):
                return Ok(decoding.decode_msgpack(body, LogPage))
            case Result(tag="ok", ok=other):
                return Error(_describe_refusal(other))
            case _:
                return Error(outcome.describe_call_failure(answer.error))


def create_client(client: http.HttpClient, url: str) -> LogClient:
    """Return a client for the log service at `url`."""
    return LogClient(client, url)


def _describe_refusal(answer: http.Answer) -> outcome.PlatformFailure:
    # Only the log service answers 503 before it appends. Another error status
    # may come from a proxy and hide an append that took effect.
    is_refused = answer.status == _SERVICE_UNAVAILABLE
    effect = outcome.Effect.NOT_DONE if is_refused else outcome.Effect.UNKNOWN
    return outcome.PlatformFailure(effect, f"status {answer.status}")
