"""Count crashes by request content and decide which to quarantine."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["QUARANTINE_ROUNDS", "CrashRecord", "CrashTable"]

# A content is quarantined after this many rounds of crashes; crashes with the
# same number are one round. A harmless content can be part of two rounds, when
# it is retried on the runner that crashes next.
QUARANTINE_ROUNDS = 3
# A content that reaches several daemons at once crashes several runners in one
# round. Waiting for a third round would cost too many runners, but one round
# alone may be an outage of a host or zone.
_QUARANTINE_CRASHES = 4
_MIN_ROUNDS = 2
# Doubled with each further round, because each trial of the content ends a
# runner and all requests on it.
_QUARANTINE_S = 3600.0
_MAX_QUARANTINE_S = 86_400.0
# Contents without a crash for this long are dropped.
_EXPIRY_S = 2 * _MAX_QUARANTINE_S
# One crash adds a content for each request at the runner.
_MAX_CONTENTS = 4096


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """A runner that ended while it served a content.

    Attributes:
        content: Digest of a request, or of a part of prompts.
        number: One more than the highest number known when the request was
            sent. Runners that end together, as with their host, have the same
            number; those that end one after the other have different ones.
        runner: The runner's id.
    """

    content: str
    number: int
    runner: str


@dataclasses.dataclass
class _ContentCrashes:
    """The crashes of one content.

    Attributes:
        crashes: Its crash records.
        last_crash_at: When this daemon learned of the last one, by its clock.
    """

    crashes: set[CrashRecord]
    last_crash_at: float

    def count_rounds(self) -> int:
        """Return the number of rounds; crashes of one number are one round."""
        return len({crash.number for crash in self.crashes})

    def is_at_fault(self) -> bool:
        """Return whether the content is taken for the cause of the crashes."""
        rounds = self.count_rounds()
        is_wide = len(self.crashes) >= _QUARANTINE_CRASHES
        return rounds >= QUARANTINE_ROUNDS or (
            rounds >= _MIN_ROUNDS and is_wide
        )


class CrashTable:
    """The known crash records by content.

    A crash ends all requests at a runner, of which one may be the cause. That
    one crashes the next runner as well, while the others are answered there.
    Records are therefore kept until the content is answered once.

    Attributes:
        on_dropped: Called with records that are dropped for their age or
            because the table is full.
    """

    def __init__(
        self,
        read_clock: Callable[[], float],
        max_contents: int = _MAX_CONTENTS,
    ) -> None:
        self.on_dropped: Callable[[list[CrashRecord]], None] = _ignore
        self._read_clock = read_clock
        self._max_contents = max_contents
        # Ordered by the last crash, the oldest first.
        self._contents: collections.OrderedDict[str, _ContentCrashes] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many contents have crash records."""
        return len(self._contents)

    def has(self, crash: CrashRecord) -> bool:
        """Return whether a crash record is known."""
        known = self._contents.get(crash.content)
        return known is not None and crash in known.crashes

    def count(self, content: str) -> int:
        """Return the number of a content's crash records."""
        known = self._contents.get(content)
        return len(known.crashes) if known else 0

    def list_crashed(self, content: str) -> frozenset[str]:
        """Return the ids of the runners that ended under a content."""
        known = self._contents.get(content)
        crashes = known.crashes if known else ()
        return frozenset(crash.runner for crash in crashes)

    def list_at_fault(self) -> list[str]:
        """Return the contents that are taken for the cause of crashes."""
        return [
            content
            for content, known in self._contents.items()
            if known.is_at_fault()
        ]

    def find_latest(self, content: str) -> int:
        """Return the highest number of a content's records; 0 if none."""
        known = self._contents.get(content)
        if known is None:
            return 0
        return max(crash.number for crash in known.crashes)

    def find_quarantine_s(self, content: str) -> float | None:
        """Return the seconds of quarantine left; None if there is none."""
        known = self._contents.get(content)
        if known is None or not known.is_at_fault():
            return None
        doublings = max(0, known.count_rounds() - QUARANTINE_ROUNDS)
        quarantine_s = min(_QUARANTINE_S * 2**doublings, _MAX_QUARANTINE_S)
        left_s = known.last_crash_at + quarantine_s - self._read_clock()
        return left_s if left_s > 0 else None

    def add(self, crash: CrashRecord) -> bool:
        """Add a crash record; return whether it is new."""
        known = self._contents.get(crash.content)
        if known is None:
            known = _ContentCrashes(set(), 0.0)
            self._contents[crash.content] = known
        if crash in known.crashes:
            return False
        known.crashes.add(crash)
        known.last_crash_at = self._read_clock()
        self._contents.move_to_end(crash.content)
        self._drop_old()
        return True

    def remove(self, crash: CrashRecord) -> None:
        """Remove one crash record."""
        known = self._contents.get(crash.content)
        if known is None:
            return
        known.crashes.discard(crash)
        if not known.crashes:
            del self._contents[crash.content]

    def remove_content(self, content: str) -> list[CrashRecord]:
        """Remove all records of a content; return them."""
        known = self._contents.pop(content, None)
        crashes = known.crashes if known else ()
        return sorted(crashes, key=lambda crash: (crash.number, crash.runner))

    def list_all(self) -> set[CrashRecord]:
        """Return the records of all contents."""
        return {
            crash
            for known in self._contents.values()
            for crash in known.crashes
        }

    def replace_all(self, crashes: Iterable[CrashRecord]) -> None:
        """Make these records the only ones."""
        wanted = set(crashes)
        present = self.list_all()
        for crash in present - wanted:
            self.remove(crash)
        for crash in sorted(wanted - present, key=lambda crash: crash.number):
            self.add(crash)

    def _drop_old(self) -> None:
        oldest = self._read_clock() - _EXPIRY_S
        dropped: list[CrashRecord] = []
        while self._contents:
            content, known = next(iter(self._contents.items()))
            if known.last_crash_at >= oldest:
                break
            dropped += self.remove_content(content)
        while len(self._contents) > self._max_contents:
            dropped += self.remove_content(self._choose_dropped())
        if dropped:
            self.on_dropped(dropped)

    def _choose_dropped(self) -> str:
        """Return the oldest content not at fault, or else the oldest of all.

        A content at fault, once dropped, could crash several runners again.
        """
        for content, known in self._contents.items():
            if not known.is_at_fault():
                return content
        return next(iter(self._contents))


def _ignore(crashes: list[CrashRecord]) -> None:
    del crashes
