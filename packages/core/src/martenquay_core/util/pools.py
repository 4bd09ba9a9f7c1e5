"""Keep a pool of connections; take a new one when its own fall silent.

A connection that goes silent without a reset looks idle and well to httpcore,
and is used again. One call without an answer therefore casts doubt on all
connections that were open with it: later calls get a new pool.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    import httpcore

__all__ = ["Generation", "PoolManager"]


class Generation:
    """A pool and the calls under way on it.

    Attributes:
        pool: The pool.
        users: Calls under way.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool) -> None:
        self.pool = pool
        self.users = 0
        self._cancellable: set[trio.CancelScope] = set()

    @contextlib.contextmanager
    def limit(
        self, timeout_s: float, *, may_be_cut: bool
    ) -> Iterator[trio.CancelScope]:
        """Limit a call's time; `cut` may end it earlier."""
        with trio.move_on_after(timeout_s) as scope:
            if may_be_cut:
                self._cancellable.add(scope)
            try:
                yield scope
            finally:
                self._cancellable.discard(scope)

    def cut(self) -> None:
        """End the calls that may be cut."""
        for scope in list(self._cancellable):
            scope.cancel()


class PoolManager:
    """Hand out the newest pool; close older ones after their last call."""

    def __init__(
        self, create_pool: Callable[[], httpcore.AsyncConnectionPool]
    ) -> None:
        self._create_pool = create_pool
        self._newest = Generation(create_pool())
        self._older: set[Generation] = set()

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[Generation]:
        """Use the newest pool for one call."""
        generation = self._newest
        generation.users += 1
        try:
            yield generation
        finally:
            generation.users -= 1
            if generation in self._older and not generation.users:
                self._older.discard(generation)
                await _close(generation)

    def replace(self, silent: Generation) -> None:
        """Give later calls new connections, if no other call has yet."""
        if silent is self._newest:
            self._older.add(silent)
            self._newest = Generation(self._create_pool())

    def cut_older(self) -> None:
        """End calls on replaced pools that may be cut."""
        for generation in self._older:
            generation.cut()

    async def close(self) -> None:
        """Close all pools."""
        for generation in [self._newest, *self._older]:
            await _close(generation)


async def _close(generation: Generation) -> None:
    # Also when the call was given up from outside: its connection would
    # otherwise stay open.
    with trio.CancelScope(shield=True):
        await generation.pool.aclose()
