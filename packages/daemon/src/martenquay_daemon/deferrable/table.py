"""Fold a work stream: what is accepted and not yet answered, and the answers.

The first whole answer in the log's order is the answer, so that it is one and
the same wherever and however often it is fetched.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict

from martenquay_daemon.deferrable import records

__all__ = ["Work", "WorkTable"]


@dataclasses.dataclass
class Work:
    """One accepted request.

    Attributes:
        ticket: Names it.
        team: Who pays.
        route: What was asked for.
        body: The request's body; empty once answered.
        written_at: When its newest record was written, in epoch seconds.
        config_offset: The configuration by which it was accepted.
        offset: Where its newest whole record starts in the log.
        answer: The answer, once there is one.
    """

    ticket: str
    team: str
    route: str
    body: bytes
    written_at: float
    config_offset: int
    offset: int
    answer: bytes | None = None


@dataclasses.dataclass
class _Pieces:
    offset: int
    found: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def add(self, index: int, count: int, piece: bytes) -> bytes | None:
        """Add a piece; return the whole once it is there."""
        self.found[index] = piece
        if len(self.found) < count:
            return None
        return b"".join(self.found[place] for place in range(count))


class WorkTable:
    """The accepted requests of one stream."""

    def __init__(self) -> None:
        # In the order of their offsets, so that old ones go first.
        self._works: OrderedDict[str, Work] = OrderedDict()
        self._open: dict[str, Work] = {}
        self._pieces: OrderedDict[tuple[str, ...], _Pieces] = OrderedDict()

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._works)

    def apply(self, offset: int, raw: bytes) -> None:
        """Fold the next record in."""
        match records.decode(raw):
            case records.AcceptedPiece() as piece:
                self._apply_accepted(offset, piece)
            case records.CompletedPiece() as piece:
                self._apply_completed(offset, piece)
            case None:
                pass

    def find(self, ticket: str) -> Work | None:
        """Return a request, or None if it is not remembered."""
        return self._works.get(ticket)

    def list_open(self) -> list[Work]:
        """Return the requests without an answer."""
        return list(self._open.values())

    def forget_before(self, offset: int) -> None:
        """Drop answered requests that the log itself has forgotten.

        A request without an answer is kept: it is still owed one.
        """
        while self._works:
            oldest = next(iter(self._works.values()))
            if oldest.offset >= offset or oldest.answer is None:
                break
            del self._works[oldest.ticket]
        while self._pieces:
            place, pieces = next(iter(self._pieces.items()))
            if pieces.offset >= offset:
                return
            del self._pieces[place]

    def _apply_accepted(
        self, offset: int, piece: records.AcceptedPiece
    ) -> None:
        place = ("accepted", piece.ticket, str(piece.written_at))
        body = self._add(place, offset, piece)
        if body is None:
            return
        known = self._works.get(piece.ticket)
        if known is not None:
            known.written_at = piece.written_at
            known.offset = offset
            self._works.move_to_end(piece.ticket)
            return
        work = Work(
            piece.ticket,
            piece.team,
            piece.route,
            body,
            piece.written_at,
            piece.config_offset,
            offset,
        )
        self._works[piece.ticket] = work
        self._open[piece.ticket] = work

    def _apply_completed(
        self, offset: int, piece: records.CompletedPiece
    ) -> None:
        place = ("completed", piece.ticket, piece.attempt)
        answer = self._add(place, offset, piece)
        work = self._open.get(piece.ticket)
        if answer is None or work is None:
            return
        del self._open[piece.ticket]
        work.answer = answer
        work.body = b""
        work.offset = offset
        self._works.move_to_end(piece.ticket)

    def _add(
        self,
        place: tuple[str, ...],
        offset: int,
        piece: records.AcceptedPiece | records.CompletedPiece,
    ) -> bytes | None:
        pieces = self._pieces.setdefault(place, _Pieces(offset))
        whole = pieces.add(piece.index, piece.count, piece.piece)
        if whole is not None:
            del self._pieces[place]
        return whole
