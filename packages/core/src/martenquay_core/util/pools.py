"""Replace an httpcore connection pool when one of its calls times out.

httpcore cannot tell a connection that went silent without a reset from an idle
one, and reuses it. After a timeout all connections of the pool are therefore
suspect, and later calls get a new pool.
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
    """A connection pool and its calls in progress.

    Attributes:
        pool: The connection pool.
        users: Number of calls in progress.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool) -> None:
        self.pool = pool
        self.users = 0
        self._cancellable: set[trio.CancelScope] = set()

    @contextlib.contextmanager
    def limit(
        self, timeout_s: float, *, is_cancellable: bool
    ) -> Iterator[trio.CancelScope]:
        """Limit the time of a call; `cancel_calls` may cancel it earlier."""
        with trio.move_on_after(timeout_s) as scope:
            if is_cancellable:
                self._cancellable.add(scope)
            try:
                yield scope
            finally:
                self._cancellable.discard(scope)

    def cancel_calls(self) -> None:
        """Cancel the calls that were begun with `is_cancellable`."""
        for scope in list(self._cancellable):
            scope.cancel()


class PoolManager:
    """Provides the newest pool; closes replaced ones after their last call."""

    def __init__(
        self, create_pool: Callable[[], httpcore.AsyncConnectionPool]
    ) -> None:
        self._create_pool = create_pool
        self._newest = Generation(create_pool())
        self._older: set[Generation] = set()

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[Generation]:
        """Provide the newest pool for one call."""
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
        """Replace a pool that a call timed out on, unless already replaced."""
        if silent is self._newest:
            self._older.add(silent)
            self._newest = Generation(self._create_pool())

    def cancel_older_calls(self) -> None:
        """Cancel the cancellable calls on replaced pools."""
        for generation in self._older:
            generation.cancel_calls()

    async def close(self) -> None:
        """Close all pools."""
        for generation in [self._newest, *self._older]:
            await _close(generation)


async def _close(generation: Generation) -> None:
    # A cancelled call must close its pool too, or the connection stays open.
    with trio.CancelScope(shield=True):
        await generation.pool.aclose()
