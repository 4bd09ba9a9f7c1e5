"""Order to copy a run from one engine to another, and the answers to it."""

from __future__ import annotations

import dataclasses

__all__ = [
    "Copied",
    "MoveAnswer",
    "MoveBusy",
    "MoveFailed",
    "MoveOrder",
    "MoveRefused",
    "RunMissing",
]


@dataclasses.dataclass(frozen=True)
class MoveOrder:
    """Order to copy the KV cache of a run to another engine.

    Attributes:
        call_id: Id of the request.
        target: Address of the engine that gets the copy.
        is_last: Stop the run before it is copied; its stream is then closed
            without its end. Otherwise the run continues.
    """

    call_id: str
    target: str
    is_last: bool = False


@dataclasses.dataclass(frozen=True)
class Copied:
    """The copy is complete.

    Attributes:
        handle: Id of the copy.
        events: Events that the run has created so far.
    """

    handle: str
    events: int


@dataclasses.dataclass(frozen=True)
class RunMissing:
    """The engine has no such run; it may have ended."""


@dataclasses.dataclass(frozen=True)
class MoveBusy:
    """Another call for the same run is in progress."""


@dataclasses.dataclass(frozen=True)
class MoveRefused:
    """The target has no room, or there is no path to it.

    Attributes:
        handle: Id under which the source keeps the memory of a run that it
            has stopped; None if it has stopped none.
    """

    handle: str | None


@dataclasses.dataclass(frozen=True)
class MoveFailed:
    """No usable answer came; the order may have been carried out.

    Attributes:
        reason: Reason, for the log.
        is_sent: False only if the engine cannot have received the order.
    """

    reason: str
    is_sent: bool = True


MoveAnswer = Copied | RunMissing | MoveBusy | MoveRefused | MoveFailed
