"""Why a request ends before it has been read, with its answers."""

from __future__ import annotations

import dataclasses

from martenquay_core import results
from martenquay_daemon.forwarding import answers

__all__ = [
    "CallerDisconnectedError",
    "RequestRejectedError",
    "create_body_too_large",
    "create_framing_too_large",
    "create_malformed",
    "create_no_room",
    "create_slow_body",
    "create_too_much_framing",
]

_Code = results.ResultCode
# Another daemon may have room, and what takes it here is refused in favor of
# smaller and newer requests.
_NO_ROOM_RETRY_AFTER_S = 0.25
_UNAVAILABLE_STATUS = 503
_HEADERS_TOO_LARGE_STATUS = 431


@dataclasses.dataclass
class RequestRejectedError(Exception):
    """The request is malformed, too large, too slow or refused.

    Attributes:
        answer: The error response for the caller.
    """

    answer: answers.OwnAnswer


class CallerDisconnectedError(Exception):
    """The caller closed its connection in the middle of a request."""


def create_malformed(
    error: Exception, status: int | None = None
) -> answers.OwnAnswer:
    """Return the answer to bytes that the parser does not take."""
    message = f"the request is malformed: {error}"
    return answers.create_own_answer(
        _Code.MALFORMED_REQUEST, message, status=status
    )


def create_body_too_large(limit: int) -> answers.OwnAnswer:
    """Return the answer to a body of more than `limit` bytes."""
    message = f"the body has more than {limit} bytes"
    return answers.create_own_answer(_Code.BODY_TOO_LARGE, message)


def create_too_much_framing(
    framing_bytes: int, body_bytes: int
) -> answers.OwnAnswer:
    """Return the answer to a body in chunks that are mostly framing."""
    message = f"{framing_bytes} bytes frame {body_bytes} of the body"
    return answers.create_own_answer(_Code.BODY_TOO_LARGE, message)


def create_framing_too_large() -> answers.OwnAnswer:
    """Return the answer to a chunk's size or trailers that do not end."""
    return answers.create_own_answer(
        _Code.MALFORMED_REQUEST,
        "a chunk's size and extensions, or the trailers, are too large",
        status=_HEADERS_TOO_LARGE_STATUS,
    )


def create_slow_body() -> answers.OwnAnswer:
    """Return the answer to a body that came too slowly."""
    message = "the request's body did not arrive in time"
    return answers.create_own_answer(_Code.SLOW_CALLER, message)


def create_no_room() -> answers.OwnAnswer:
    """Return the answer to a request that makes room for others."""
    return answers.create_own_answer(
        _Code.NOT_RUN_OVERLOADED,
        "the room for callers' requests is in use",
        status=_UNAVAILABLE_STATUS,
        retry_after_s=_NO_ROOM_RETRY_AFTER_S,
    )
