"""Poll the load and follow the cache events of model runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.config import objects
from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from martenquay_core.platform import instances
    from martenquay_core.runners import engine, orders
    from martenquay_daemon.configuration import store
    from martenquay_daemon.membership import directory
    from martenquay_daemon.routing import loads, prefixes

__all__ = ["RunnerFeeds", "choose_watched"]

_LOG = logs.create_log("routing")
_UPDATE_INTERVAL_S = 0.5
_RETRY_DELAY_S = 1.0
_EVENT_TIMEOUT_S = 10.0
# Bounds the cost of a daemon; other runners are known from its placements only.
MAX_WATCHED = 16


class RunnerFeeds:
    """Updates loads and prefix index from a bounded number of runners."""

    def __init__(
        self,
        client: engine.EngineClient,
        runners: directory.RunnerDirectory,
        config: store.ConfigStore,
        load_book: loads.LoadBook,
        index: prefixes.PrefixIndex,
        member: str,
        poll_s: float,
    ) -> None:
        self._client = client
        self._member = member
        self._runners = runners
        self._config = config
        self._loads = load_book
        self._index = index
        self._poll_s = poll_s
        self._scopes: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Start and stop one task per runner as runners come and go."""
        # The tasks of a failed run have ended with it; their runners would not
        # be watched again if they were still listed.
        self._scopes.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._update_watches(nursery)
                await trio.sleep(_UPDATE_INTERVAL_S)

    def _update_watches(self, nursery: trio.Nursery) -> None:
        models = [r for r in self._runners.list_all() if self._is_model(r)]
        chosen = choose_watched(self._member, [r.name for r in models])
        watched_runners = {r.name: r for r in models if r.name in chosen}
        for name in set(self._scopes) - set(watched_runners):
            self._scopes.pop(name).cancel()
            self._index.forget_runner(name)
            self._loads.forget(name)
        for name in set(watched_runners) - set(self._scopes):
            scope = self._scopes[name] = trio.CancelScope()
            nursery.start_soon(self._watch, watched_runners[name], scope)

    def _is_model(self, runner: instances.Instance) -> bool:
        pool = self._config.find_pool(runner.partner, runner.pool)
        return pool is not None and pool.kind is objects.PoolKind.MODEL

    async def _watch(
        self, runner: instances.Instance, scope: trio.CancelScope
    ) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._poll_load, runner)
                await self._follow_cache(runner)

    async def _poll_load(self, runner: instances.Instance) -> None:
        while True:
            load = await self._client.read_load(runner.address)
            if load.is_ok():
                self._loads.note_report(
                    runner.name, load.ok.running, load.ok.queued
                )
            await trio.sleep(self._poll_s)

    async def _follow_cache(self, runner: instances.Instance) -> None:
        number = 0
        while True:
            events = await self._client.read_events(
                runner.address, number, _EVENT_TIMEOUT_S
            )
            match events:
                case Result(tag="ok", ok=found):
                    number = await self._apply_events(runner, number, found)
                case _:
                    await trio.sleep(_RETRY_DELAY_S)

    async def _apply_events(
        self,
        runner: instances.Instance,
        number: int,
        events: list[orders.CacheEvent],
    ) -> int:
        for event in events:
            if event.number != number + 1:
                return await self._resync(runner, number)
            number = event.number
            self._index.note_dropped(runner.name, event.removed)
            self._index.note_held(runner.name, event.added)
        return number

    async def _resync(self, runner: instances.Instance, number: int) -> int:
        listed = await self._client.list_blocks(runner.address)
        if listed.is_error():
            return number
        _LOG.write(
            f"Cache events of {runner.name} have a gap; relisted its blocks.",
            runner=runner.name,
        )
        self._index.replace_runner(runner.name, listed.ok.blocks)
        return listed.ok.number


def choose_watched(member: str, runners: list[str]) -> set[str]:
    """Return the runners that a daemon watches, chosen by rendezvous hash."""
    if len(runners) <= MAX_WATCHED:
        return set(runners)
    return set(rendezvous.rank_candidates(member, runners)[:MAX_WATCHED])
