"""Result codes of answers to callers and operators."""

from __future__ import annotations

import dataclasses
import enum

__all__ = ["Failure", "ResultCode", "ResultInfo", "describe_result"]


class ResultCode(enum.IntEnum):
    """Result codes; docs/usage/results.md lists them all.

    The thousands digit is the category: 1 done, 2 invalid request, 3 not run,
    4 outcome unknown, 5 operators' changes, 6 settings, 7 the platform.
    """

    OK = 1000
    ACCEPTED = 1001
    PENDING = 1002
    MALFORMED_REQUEST = 2001
    BODY_TOO_LARGE = 2002
    BAD_CREDENTIAL = 2003
    UNKNOWN_ROUTE = 2004
    UNKNOWN_TICKET = 2005
    SLOW_CALLER = 2006
    KEY_REUSED = 2007
    NOT_RUN_OVERLOADED = 3001
    NOT_RUN_NO_RUNNER = 3002
    NOT_RUN_LOG_DOWN = 3003
    NOT_RUN_STOPPING = 3004
    NOT_RUN_DEADLINE = 3005
    NOT_RUN_STARTING = 3006
    NOT_RUN_QUARANTINED = 3007
    NOT_RUN_VERSION_LOST = 3008
    UNKNOWN_ANSWER_LOST = 4001
    UNKNOWN_HOLDER_LOST = 4002
    STREAM_BROKEN = 4003
    SYNTAX_ERROR = 5001
    CONFLICT = 5002
    FORBIDDEN = 5003
    INVALID_VALUE = 5004
    CHANGE_UNKNOWN = 5005
    CHANGE_NOT_MADE = 5006
    NOT_FOUND = 5007
    ZONE_NOT_REPORTED = 5008
    SETTINGS_UNREADABLE = 6001
    SETTINGS_SYNTAX = 6002
    SETTINGS_INVALID = 6003
    PLATFORM_NOT_DONE = 7001
    PLATFORM_UNKNOWN = 7002
    DAEMON_UNREACHABLE = 7003


@dataclasses.dataclass(frozen=True)
class ResultInfo:
    """Properties of a result code.

    Attributes:
        http_status: HTTP status of an answer with this code.
        exit_code: Exit status of the operators' client.
        meaning: One sentence, as in the documentation.
    """

    http_status: int
    exit_code: int
    meaning: str


_INFO = {
    ResultCode.OK: ResultInfo(200, 0, "Done; the answer is whole."),
    ResultCode.ACCEPTED: ResultInfo(
        202, 0, "Kept in the log; fetch the answer by its ticket."
    ),
    ResultCode.PENDING: ResultInfo(202, 0, "The ticket has no answer yet."),
    ResultCode.MALFORMED_REQUEST: ResultInfo(
        400, 2, "The request could not be read; nothing ran."
    ),
    ResultCode.BODY_TOO_LARGE: ResultInfo(
        413, 2, "The body is over the limit of the settings; nothing ran."
    ),
    ResultCode.BAD_CREDENTIAL: ResultInfo(
        401, 3, "The credential belongs to no team or operator here."
    ),
    ResultCode.UNKNOWN_ROUTE: ResultInfo(
        404, 2, "No route of that name is in force for this team."
    ),
    ResultCode.UNKNOWN_TICKET: ResultInfo(
        404, 2, "No such ticket, or its answer is older than the log keeps."
    ),
    ResultCode.SLOW_CALLER: ResultInfo(
        408, 2, "The body did not arrive in time; nothing ran."
    ),
    ResultCode.KEY_REUSED: ResultInfo(
        422, 2, "The same key came before with another request; nothing ran."
    ),
    ResultCode.NOT_RUN_OVERLOADED: ResultInfo(
        429, 4, "Not run: the team's or the pool's queue is full."
    ),
    ResultCode.NOT_RUN_NO_RUNNER: ResultInfo(
        503, 4, "Not run: no runner of the pool could be reached."
    ),
    ResultCode.NOT_RUN_LOG_DOWN: ResultInfo(
        503, 4, "Not run: the log, which has to keep this, did not answer."
    ),
    ResultCode.NOT_RUN_STOPPING: ResultInfo(
        503, 4, "Not run: this daemon is stopping; another one answers."
    ),
    ResultCode.NOT_RUN_DEADLINE: ResultInfo(
        504, 4, "Not run: the deadline passed before a runner was free."
    ),
    ResultCode.NOT_RUN_STARTING: ResultInfo(
        503, 4, "Not run: this daemon has not read the log to its end yet."
    ),
    ResultCode.NOT_RUN_QUARANTINED: ResultInfo(
        503, 4, "Not run: runners ended under this request again and again."
    ),
    ResultCode.NOT_RUN_VERSION_LOST: ResultInfo(
        503, 4, "Not run: no runner can go on with the stream to resume."
    ),
    ResultCode.UNKNOWN_ANSWER_LOST: ResultInfo(
        502, 5, "It may have run: the answer was lost. It is not sent again."
    ),
    ResultCode.UNKNOWN_HOLDER_LOST: ResultInfo(
        502, 5, "It may have run: the daemon that held the key is gone."
    ),
    ResultCode.STREAM_BROKEN: ResultInfo(
        502, 5, "The stream could not be finished; its last event says so."
    ),
    ResultCode.SYNTAX_ERROR: ResultInfo(
        400, 2, "The statement could not be read; the word is pointed at."
    ),
    ResultCode.CONFLICT: ResultInfo(
        409, 6, "Another change came first; nothing was changed."
    ),
    ResultCode.FORBIDDEN: ResultInfo(
        403, 3, "The object belongs to the other partner."
    ),
    ResultCode.INVALID_VALUE: ResultInfo(
        422, 2, "A field or its value is not allowed; nothing was changed."
    ),
    ResultCode.CHANGE_UNKNOWN: ResultInfo(
        504, 5, "The change may be in force; ask again with the same id."
    ),
    ResultCode.CHANGE_NOT_MADE: ResultInfo(
        503, 4, "The log refused the change; nothing was changed."
    ),
    ResultCode.NOT_FOUND: ResultInfo(404, 2, "There is no such object."),
    ResultCode.ZONE_NOT_REPORTED: ResultInfo(
        504, 5, "Accepted, but some availability zone has not reported it."
    ),
    ResultCode.SETTINGS_UNREADABLE: ResultInfo(
        500, 7, "The settings file could not be opened."
    ),
    ResultCode.SETTINGS_SYNTAX: ResultInfo(
        500, 7, "The settings file is not JSON with comments."
    ),
    ResultCode.SETTINGS_INVALID: ResultInfo(
        500, 7, "A setting is missing, unknown or out of its range."
    ),
    ResultCode.PLATFORM_NOT_DONE: ResultInfo(
        503, 4, "The platform refused; nothing was done there."
    ),
    ResultCode.PLATFORM_UNKNOWN: ResultInfo(
        504, 5, "The platform's answer was lost; it may have been done."
    ),
    ResultCode.DAEMON_UNREACHABLE: ResultInfo(
        503, 4, "No daemon answered at the given address."
    ),
}


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why a request or command failed.

    Attributes:
        code: Result code.
        message: One sentence for people.
        retry_after_s: Seconds after which a retry may succeed; None if no
            time is known.
    """

    code: ResultCode
    message: str
    retry_after_s: float | None = None


def describe_result(code: ResultCode) -> ResultInfo:
    """Return HTTP status, exit code and meaning of a result code."""
    return _INFO[code]
