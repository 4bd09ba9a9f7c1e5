"""Encode and send results, with the result code in body and header."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from martenquay_core import results
from martenquay_core.util import serving

__all__ = [
    "create_result_headers",
    "describe_failure",
    "encode_failure",
    "send_failure",
    "send_result",
]

_JSON = (b"content-type", b"application/json")


def create_result_headers(
    request_id: str, code: results.ResultCode, runner: str = "", zone: str = ""
) -> list[tuple[bytes, bytes]]:
    """Return the headers common to all answers, and the runner's if given."""
    headers = [
        (b"x-request-id", request_id.encode()),
        (b"x-martenquay-result", str(code.value).encode()),
    ]
    if runner:
        headers.append((b"x-martenquay-runner", runner.encode()))
        headers.append((b"x-martenquay-zone", zone.encode()))
    return headers


async def send_result(
    send: serving.Send,
    request_id: str,
    code: results.ResultCode,
    content: dict[str, Any],
) -> None:
    """Send a successful result with JSON content."""
    status = results.describe_result(code).http_status
    body = msgspec.json.encode(
        {"code": code.value, "name": code.name} | content
    )
    headers = [_JSON, *create_result_headers(request_id, code)]
    await serving.send_answer(send, status, body, headers)


async def send_failure(
    send: serving.Send, request_id: str, failure: results.Failure
) -> None:
    """Send a failure, with `retry-after` if a retry may succeed."""
    status = results.describe_result(failure.code).http_status
    headers = [_JSON, *create_result_headers(request_id, failure.code)]
    if failure.retry_after_s is not None:
        seconds = max(1, math.ceil(failure.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    body = encode_failure(request_id, failure)
    await serving.send_answer(send, status, body, headers)


def encode_failure(request_id: str, failure: results.Failure) -> bytes:
    """Encode a failure as JSON."""
    return msgspec.json.encode(describe_failure(request_id, failure))


def describe_failure(
    request_id: str, failure: results.Failure
) -> dict[str, Any]:
    """Return the fields of a failure for callers and operators."""
    return {
        "code": failure.code.value,
        "name": failure.code.name,
        "meaning": results.describe_result(failure.code).meaning,
        "message": failure.message,
        "request_id": request_id,
        "retry_after_s": failure.retry_after_s,
    }
