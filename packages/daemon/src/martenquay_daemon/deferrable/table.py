"""State of a work stream: unanswered requests and offsets of the answers."""

from __future__ import annotations

import dataclasses

from martenquay_daemon.deferrable import records
from martenquay_daemon.journal import offset_index

__all__ = ["OpenRequest", "WorkTable", "find_team"]


@dataclasses.dataclass
class OpenRequest:
    """An accepted request without an answer.

    Attributes:
        ticket: ID of the request.
        team: Team that sent it.
        route: Name of the requested route.
        written_at: When its newest record was written, in seconds since the
            epoch.
        config_offset: Offset of the configuration in force when it was
            accepted.
        body: Records of its body in the content stream.
        is_answered: Whether an answer was read from the log since.
    """

    ticket: str
    team: str
    route: str
    written_at: float
    config_offset: int
    body: offset_index.RecordRange
    is_answered: bool = False


class WorkTable:
    """The accepted requests of one work stream.

    The first answer in the log is the one that counts, so that each daemon
    returns the same answer however often it is fetched.
    """

    def __init__(self) -> None:
        self._open_requests: dict[str, OpenRequest] = {}
        self._answers = offset_index.OffsetIndex()

    def __len__(self) -> int:
        """Return the number of requests, answered or not."""
        return len(self._open_requests) + len(self._answers)

    def apply(self, offset: int, raw: bytes) -> None:
        """Apply the next record of the stream; ignore an unknown one."""
        match records.decode(raw):
            case records.Accepted() as accepted:
                self._apply_accepted(accepted)
            case records.Completed() as completed:
                self._apply_completed(offset, completed)
            case None:
                pass

    def find_open(self, ticket: str) -> OpenRequest | None:
        """Return the unanswered request with this ticket, or None."""
        return self._open_requests.get(ticket)

    def find_answer(self, ticket: str) -> offset_index.RecordRange | None:
        """Return the records of an answer in the content stream, or None."""
        return self._answers.find(ticket)

    def list_open(self) -> list[OpenRequest]:
        """Return the unanswered requests."""
        return list(self._open_requests.values())

    def forget_before(self, offset: int) -> None:
        """Remove answers that the log no longer retains.

        Unanswered requests stay, because their callers wait for an answer.
        """
        self._answers.forget_before(offset)

    def _apply_accepted(self, accepted: records.Accepted) -> None:
        if self._answers.find(accepted.ticket) is not None:
            return
        body = offset_index.RecordRange(accepted.offset, accepted.count)
        existing = self._open_requests.get(accepted.ticket)
        if existing is not None:
            # A caller that retries an uncertain request may send another body.
            # The first body counts; only a renewal may change its offset.
            if accepted.is_carried:
                existing.written_at = accepted.written_at
                existing.body = body
            return
        self._open_requests[accepted.ticket] = OpenRequest(
            accepted.ticket,
            accepted.team,
            accepted.route,
            accepted.written_at,
            accepted.config_offset,
            body,
        )

    def _apply_completed(
        self, offset: int, completed: records.Completed
    ) -> None:
        if self._answers.find(completed.ticket) is not None:
            return
        location = offset_index.RecordRange(completed.offset, completed.count)
        self._answers.add(completed.ticket, offset, location)
        request = self._open_requests.pop(completed.ticket, None)
        if request is not None:
            request.is_answered = True


def find_team(ticket: str) -> str:
    """Return the name of the team that a ticket belongs to."""
    return ticket.partition(".")[0]
