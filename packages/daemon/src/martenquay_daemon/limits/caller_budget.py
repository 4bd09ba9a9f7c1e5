"""Memory that all requests together may hold of what is sent to them.

A limit on each request bounds one caller; many callers at once would still fill
the instance's memory. A request that is still being read can be refused, as no
runner has it; what has been read of an answer can be dropped, though its
request may have run. The one that holds most for longest is refused, and not
the one that happens to come next.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "FREE_BYTES",
    "CallerBudget",
    "Holding",
    "create_budget",
    "find_caller_bytes",
]

# Of each connection, not counted: one read. Small requests need no share of the
# budget, so that large ones cannot keep them out.
FREE_BYTES = 16_384
# What the daemon may need for all else; docs/CAPACITY.md.
_OWN_BYTES = 128_000_000
# Of an instance that has little more than that.
_MIN_FRACTION = 0.25
_BYTES_PER_MB = 1_000_000
# For what requests and answers hold; connections may take as much besides.
_CALLER_FRACTION = 0.5
# Of that, for what callers send and for what runners answer.
REQUEST_SHARE = 0.5
ANSWER_SHARE = 0.5


@dataclasses.dataclass(eq=False)
class Holding:
    """What one connection holds of its caller's or a runner's bytes.

    Attributes:
        refuse: Drops what is held and ends the request.
        size: Bytes counted.
        since: When the request, or the delivery of its answer, began, on trio's
            clock.
        is_refusable: It may be refused now.
    """

    refuse: Callable[[], None]
    size: int = 0
    since: float = 0.0
    is_refusable: bool = False


class CallerBudget:
    """Bounds the sum of what connections hold.

    Attributes:
        capacity_bytes: Limit of the sum. One holding alone may exceed it, and
            what is being answered is not refused.
        used_bytes: The sum.
        refusals: How many holdings were refused for others.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.refusals = 0
        self._holdings: set[Holding] = set()

    def resize(self, holding: Holding, held_bytes: int) -> bool:
        """Count what a connection holds now; refuse others if it is too much.

        Args:
            holding: The connection's holding.
            held_bytes: All that it holds.

        Returns:
            False if this holding is the one to refuse; it is counted until it
            is resized again.
        """
        self._set_size(holding, max(0, held_bytes - FREE_BYTES))
        while self.used_bytes > self.capacity_bytes:
            if len(self._holdings) == 1:
                return True
            largest = self._find_largest()
            if largest is None:
                return True
            if largest is holding:
                return False
            self.refusals += 1
            self._set_size(largest, 0)
            largest.refuse()
        return True

    def has_room(self, extra_bytes: int) -> bool:
        """Return whether more bytes fit without a refusal."""
        return self.used_bytes + extra_bytes <= self.capacity_bytes

    def _set_size(self, holding: Holding, size: int) -> None:
        self.used_bytes += size - holding.size
        holding.size = size
        if size:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)

    def _find_largest(self) -> Holding | None:
        """Return the holding with the largest product of size and age."""
        now = trio.current_time()
        refusable = [one for one in self._holdings if one.is_refusable]
        return max(
            refusable,
            key=lambda one: (one.size * (now - one.since), one.size),
            default=None,
        )


def create_budget(memory_mb: float, share: float = 1.0) -> CallerBudget:
    """Return a budget of an instance.

    Args:
        memory_mb: Memory of the instance in MB.
        share: Part of what requests and answers may hold.
    """
    return CallerBudget(int(share * find_caller_bytes(memory_mb)))


def find_caller_bytes(memory_mb: float) -> float:
    """Return what requests and answers may hold, and connections besides.

    Args:
        memory_mb: Memory of the instance in MB.
    """
    memory_bytes = memory_mb * _BYTES_PER_MB
    rest_bytes = max(memory_bytes - _OWN_BYTES, _MIN_FRACTION * memory_bytes)
    return _CALLER_FRACTION * rest_bytes
