"""Decide whether a request is sent, from the crash records of its contents.

A crash is recorded against each part of each prompt at the runner, of which one
part may be the cause. Parts that it takes along are told from it by answers
without it, and by the crashes that they have no part in.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from martenquay_daemon.quarantine import crash_table

__all__ = [
    "PROBE_INTERVAL_S",
    "Free",
    "Refused",
    "Suspect",
    "Verdict",
    "Verdicts",
]

# A suspect that is answered is free after some 0.2 s at all daemons.
PROBE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class Free:
    """The request may be sent."""


@dataclasses.dataclass(frozen=True)
class Suspect:
    """Another content may have caused the same crashes.

    Such requests are sent one at a time.

    Attributes:
        contents: The contents in doubt.
    """

    contents: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request has a content that crashes runners.

    Attributes:
        content: The content.
        hold_s: Seconds until its quarantine ends.
    """

    content: str
    hold_s: float


Verdict = Free | Suspect | Refused


class Verdicts:
    """Judges requests by all their contents."""

    def __init__(
        self, table: crash_table.CrashTable, read_clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._read_clock = read_clock
        # When the next probe of a content may be sent.
        self._next_probe_at: dict[str, float] = {}

    def judge(self, contents: Sequence[str]) -> Verdict:
        """Return the verdict on a request.

        Args:
            contents: The request's own content and the shared parts of its
                prompt.
        """
        held = {
            content: hold_s
            for content in contents
            if (hold_s := self._table.find_quarantine_s(content)) is not None
        }
        if not held:
            return Free()
        rivals = self._list_rivals(contents)
        refused: list[tuple[int, Refused]] = []
        suspects = []
        for content, hold_s in held.items():
            crashed = self._table.list_crashed(content)
            covering = [one for one in rivals if one >= crashed]
            if not covering:
                refused.append((len(crashed), Refused(content, hold_s)))
            elif all(one == crashed for one in covering):
                suspects.append(content)
        if refused:
            return max(refused, key=lambda found: found[0])[1]
        return Suspect(tuple(suspects)) if suspects else Free()

    def try_probe(self, suspect: Suspect) -> bool:
        """Return whether a suspect may be sent now, and count it if so."""
        now = self._read_clock()
        for content, at in list(self._next_probe_at.items()):
            if at <= now:
                del self._next_probe_at[content]
        if any(one in self._next_probe_at for one in suspect.contents):
            return False
        for content in suspect.contents:
            self._next_probe_at[content] = now + PROBE_INTERVAL_S
        return True

    def _list_rivals(self, contents: Sequence[str]) -> list[frozenset[str]]:
        """Return the crashed runners of each other content at fault."""
        return [
            self._table.list_crashed(other)
            for other in self._table.list_at_fault()
            if other not in contents
        ]
