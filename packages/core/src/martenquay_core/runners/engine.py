"""Client of the model engines.

The protocol is that of the engine stand-in: JSON over HTTP. Another engine
needs another implementation of `EngineClient`.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec

from martenquay_core.runners import orders
from martenquay_core.util import decoding, http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from expression import Result

__all__ = ["EngineClient", "EngineStream", "StreamLostError"]

_TIMEOUT_S = 2.0
_CONNECT_S = 1.0
_OK = 200
_EVENT_DECODER = msgspec.json.Decoder(orders.StreamEvent)


class StreamLostError(Exception):
    """The engine's stream ended early or could not be opened."""


class EngineStream:
    """Reads the events of one generation stream."""

    def __init__(self, answer: http.StreamedAnswer) -> None:
        self._answer = answer

    async def iterate(self) -> AsyncIterator[orders.StreamEvent]:
        """Yield events as they arrive.

        Raises:
            StreamLostError: The connection broke or sent a malformed event.
        """
        try:
            async for line in self._answer.iterate_lines():
                yield decoding.decode_with(_EVENT_DECODER.decode, line)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            msgspec.MsgspecError,
        ) as error:
            raise StreamLostError(f"{type(error).__name__}: {error}") from error


class EngineClient:
    """Calls engines at given addresses."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, order: orders.GenerateOrder, read_timeout_s: float
    ) -> AsyncIterator[EngineStream]:
        """Start a generation; leaving the context closes its stream.

        Raises:
            StreamLostError: The engine could not be reached or answered with
                an error status.
        """
        try:
            async with self._client.stream(
                "POST",
                f"http://{address}/v1/generate",
                body=msgspec.json.encode(order),
                connect_timeout_s=_CONNECT_S,
                read_timeout_s=read_timeout_s,
            ) as answer:
                if answer.status != _OK:
                    raise StreamLostError(f"status {answer.status}")
                yield EngineStream(answer)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise StreamLostError(f"{type(error).__name__}: {error}") from error

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask the engine to stop a request; ignores failures."""
        await self._post(address, "cancel", {"request_id": request_id})

    async def export_cache(
        self, address: str, text: str
    ) -> Result[list[int], http.CallFailure]:
        """Return the KV cache blocks of a text, for import elsewhere."""
        answer = await self._post(address, "kv/export", {"text": text})
        return http.decode_json(answer, dict[str, list[int]]).map(
            lambda fields: fields["blocks"]
        )

    async def import_cache(
        self, address: str, exported: list[int]
    ) -> Result[http.Answer, http.CallFailure]:
        """Import exported KV cache blocks into an engine."""
        return await self._post(address, "kv/import", {"blocks": exported})

    async def read_load(
        self, address: str
    ) -> Result[orders.Load, http.CallFailure]:
        """Return the load that the engine last reported, which lags."""
        return http.decode_json(await self._get(address, "load"), orders.Load)

    async def read_events(
        self, address: str, number: int, wait_s: float
    ) -> Result[list[orders.CacheEvent], http.CallFailure]:
        """Return cache events after a number; wait up to `wait_s` for one."""
        query = f"events?from={number}&wait_ms={int(wait_s * 1000)}"
        answer = await self._get(address, query, wait_s)
        return http.decode_json(answer, list[orders.CacheEvent])

    async def list_blocks(
        self, address: str
    ) -> Result[orders.BlockList, http.CallFailure]:
        """Return all blocks in the engine's prefix cache."""
        return http.decode_json(
            await self._get(address, "blocks"), orders.BlockList
        )

    async def _post(
        self, address: str, path: str, content: Any
    ) -> Result[http.Answer, http.CallFailure]:
        return await self._client.call(
            "POST",
            f"http://{address}/v1/{path}",
            body=msgspec.json.encode(content),
            timeout_s=_TIMEOUT_S,
        )

    async def _get(
        self, address: str, path: str, wait_s: float = 0.0
    ) -> Result[http.Answer, http.CallFailure]:
        return await self._client.call(
            "GET",
            f"http://{address}/v1/{path}",
            timeout_s=_TIMEOUT_S + wait_s,
        )
