"""Count what a request holds of its runners' answers, and give it up for room.

A bound on each answer bounds one request; many at once would still fill the
instance's memory.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["HeldAnswer"]


def _keep_nothing() -> None:
    """Do nothing, as no answer is kept."""


class HeldAnswer:
    """What one request holds of answers, out of a budget for all requests.

    Attributes:
        is_refused: The request was chosen to make room for others since
            `watch` was last entered; nothing more is counted.
        kept_bytes: Size of an answer that is kept while another runner is
            tried; counted besides.
    """

    def __init__(
        self,
        budget: caller_budget.CallerBudget | None = None,
        drop_kept: Callable[[], None] = _keep_nothing,
    ) -> None:
        """Create it.

        Args:
            budget: Bounds what all requests hold; None for no bound.
            drop_kept: Drops the answer that is kept, and its size.
        """
        self.is_refused = False
        self.kept_bytes = 0
        self._drop_kept = drop_kept
        self._budget = budget
        self._holding = caller_budget.Holding(self._refuse, is_refusable=True)
        self._scope: trio.CancelScope | None = None

    def resize(self, size: int) -> None:
        """Count what is held of the answer that is read or delivered.

        If that is what has to make room, the watched block is cancelled.

        Args:
            size: Bytes.
        """
        if self._budget is None or self.is_refused:
            return
        if not self._holding.size:
            self._holding.since = trio.current_time()
        if not self._budget.resize(self._holding, size + self.kept_bytes):
            self._budget.resize(self._holding, 0)
            self._refuse()

    def release(self) -> None:
        """Count nothing more; the request has ended."""
        if self._budget is not None:
            self._budget.resize(self._holding, 0)

    @contextlib.contextmanager
    def watch(self) -> Iterator[None]:
        """Cancel the block if the request has to make room for others."""
        self.is_refused = False
        with trio.CancelScope() as scope:
            self._scope = scope
            try:
                yield
            finally:
                self._scope = None

    def _refuse(self) -> None:
        self.is_refused = True
        self._drop_kept()
        if self._scope is not None:
            self._scope.cancel()
