"""Fold a work stream: what is accepted and not yet answered, and the answers.

The first answer in the log's order is the answer, so that it is one and the
same wherever and however often it is fetched.
"""

from __future__ import annotations

import dataclasses

from martenquay_daemon.deferrable import records
from martenquay_daemon.journal import offset_index

__all__ = ["OpenRequest", "WorkTable", "find_team"]


@dataclasses.dataclass
class OpenRequest:
    """One accepted request without an answer.

    Attributes:
        ticket: Names it.
        team: Who pays.
        route: What was asked for.
        written_at: When its newest record was written, in epoch seconds.
        config_offset: The configuration by which it was accepted.
        body: Where its body stands in the content stream.
        is_answered: The log holds an answer by now.
    """

    ticket: str
    team: str
    route: str
    written_at: float
    config_offset: int
    body: offset_index.RecordRange
    is_answered: bool = False


class WorkTable:
    """The accepted requests of one stream."""

    def __init__(self) -> None:
        self._open_requests: dict[str, OpenRequest] = {}
        self._answers = offset_index.OffsetIndex()

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._open_requests) + len(self._answers)

    def apply(self, offset: int, raw: bytes) -> None:
        """Fold the next record in."""
        match records.decode(raw):
            case records.Accepted() as accepted:
                self._apply_accepted(accepted)
            case records.Completed() as completed:
                self._apply_completed(offset, completed)
            case None:
                pass

    def find_open(self, ticket: str) -> OpenRequest | None:
        """Return a request without an answer, or None."""
        return self._open_requests.get(ticket)

    def find_answer(self, ticket: str) -> offset_index.RecordRange | None:
        """Return where an answer stands in the content stream, or None."""
        return self._answers.find(ticket)

    def list_open(self) -> list[OpenRequest]:
        """Return the requests without an answer."""
        return list(self._open_requests.values())

    def forget_before(self, offset: int) -> None:
        """Drop answers that the log itself has forgotten.

        A request without an answer is kept: it is still owed one.
        """
        self._answers.forget_before(offset)

    def _apply_accepted(self, accepted: records.Accepted) -> None:
        if self._answers.find(accepted.ticket) is not None:
            return
        body = offset_index.RecordRange(accepted.offset, accepted.count)
        existing = self._open_requests.get(accepted.ticket)
        if existing is not None:
            # A caller who was not sure may have sent it again; the first
            # body counts, wherever it was carried to since.
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
    """Return the team that a ticket belongs to."""
    return ticket.partition(".")[0]
