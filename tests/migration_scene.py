"""Run a daemon's serving path with fake engines that move runs."""

from __future__ import annotations

import contextlib
import re
from typing import TYPE_CHECKING, Any

import eliot
import trio

from martenquay_core.util import http
from martenquay_platform import moves
from tests import migration_builders as builders
from tests import moving_engine, serving_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from martenquay_core.serving import catalog

__all__ = ["MigrationScene", "build_request", "open_migration_scene"]

_POLL_S = 0.005
_SEED_PATTERN = re.compile(rb"id: (\d+)\ndata: run (\d+)\n\n")


def build_request(call: str = "call-1", budget_ms: int = 6000) -> bytes:
    """Return a caller's request for a stream."""
    return (
        f"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {call}"
        f"\r\ndeadline-ms: {budget_ms}\r\ntoken-counts: 12000,80"
        "\r\nauthorization: Token key-1\r\n\r\n"
    ).encode()


class MigrationScene:
    """A daemon, fake engines and the daemon's log lines.

    Attributes:
        scene: The daemon.
        grid: What the engines share.
        engines: The engines; the first is the source.
        lines: Log lines of the migration.
        zones: Zones of engines that are not in that of the source, by number.
    """

    def __init__(
        self,
        scene: serving_scene.Scene,
        grid: moving_engine.EngineGrid,
        engines: list[moving_engine.MovingEngine],
    ) -> None:
        self.scene = scene
        self.grid = grid
        self.engines = engines
        self.lines: list[dict[str, Any]] = []
        self.zones: dict[int, str] = {}
        self._daemon_scope = trio.CancelScope()

    async def run_daemon(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the daemon until it is stopped."""
        with self._daemon_scope:
            await self.scene.run(task_status=task_status)

    def stop_daemon(self) -> None:
        """End the daemon at once, with all its connections."""
        self._daemon_scope.cancel()

    @property
    def source(self) -> moving_engine.MovingEngine:
        """The engine that leaves."""
        return self.engines[0]

    @property
    def target(self) -> moving_engine.MovingEngine:
        """The first of the other engines."""
        return self.engines[1]

    def add_engine(self, number: int, **changes: Any) -> None:
        """Write an engine's entry and apply it."""
        engine = self.engines[number]
        zone = self.zones.get(number, "a")
        fields = {"id": engine.id, "zone": zone, "slots": 16} | changes
        self.scene.add_runner(engine.address, **fields)

    def announce_leave(
        self, number: int = 0, leaves_in_s: float | None = 2.4, **changes: Any
    ) -> None:
        """Apply an entry that says that an engine leaves."""
        self.add_engine(
            number, is_leaving=True, leaves_in_s=leaves_in_s, **changes
        )

    def add_targets(self) -> None:
        """Add all engines but the first, which then gets no later request."""
        for number in range(1, len(self.engines)):
            self.add_engine(number)

    async def ask(
        self, call: str = "call-1", **changes: Any
    ) -> serving_scene.Reply:
        """Send a request and return the reply."""
        return await self.scene.ask(build_request(call, **changes))

    async def ask_and_leave(
        self, leaves_in_s: float | None = 2.4
    ) -> serving_scene.Reply:
        """Send a request whose engine gets its notice after three events."""
        replies = []

        async def ask() -> None:
            replies.append(await self.ask())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await self.wait_events(3)
            self.add_targets()
            self.announce_leave(leaves_in_s=leaves_in_s)
        return replies[0]

    async def wait_copy(self) -> None:
        """Wait until the source has been asked for a copy."""
        while not self.grid.calls:
            await trio.sleep(_POLL_S)

    async def wait_events(self, count: int, call: str = "call-1") -> None:
        """Wait until the source has created so many events."""
        while self.source.count_events(call) < count:
            await trio.sleep(_POLL_S)

    def count_outcome(self, outcome: str) -> int:
        """Return the number of moves with an outcome, by the metrics."""
        rendered = self.scene.parts.metrics.render().decode()
        pattern = rf'moves_total{{outcome="{outcome}",service="desk"}} (\d+)'
        found = re.search(pattern, rendered)
        return int(found[1]) if found else 0

    def count_usage(self) -> dict[int, dict[str, int]]:
        """Return the counted requests by window and team."""
        return self.scene.usage.list_counts()

    def list_texts(self, call: str = "call-1") -> list[str]:
        """Return the texts of the log lines about a request."""
        return [
            line["text"] for line in self.lines if line.get("request") == call
        ]

    def find_seeds(self, reply: serving_scene.Reply) -> set[int]:
        """Return the runs that the events of a reply come from.

        Raises:
            AssertionError: Events are missing, repeated or out of order.
        """
        found = _SEED_PATTERN.findall(reply.body)
        numbers = [int(number) for number, _ in found]
        assert numbers == list(range(1, len(numbers) + 1)), numbers
        return {int(seed) for _, seed in found}


@contextlib.asynccontextmanager
async def open_migration_scene(
    content: catalog.Catalog | None = None,
    engines: int = 2,
    events: int = 40,
    **mover_changes: Any,
) -> AsyncIterator[MigrationScene]:
    """Serve with engines, of which only the first has an entry yet."""
    grid = moving_engine.EngineGrid()
    async with (
        http.open_client(reuse=False, resets=True) as client,
        trio.open_nursery() as nursery,
    ):
        scene = serving_scene.Scene(
            content or builders.build_catalog(),
            engines=moves.create_engine_calls(client),
            **mover_changes,
        )
        fakes = [
            moving_engine.MovingEngine(grid, f"engine-{number}", events)
            for number in range(engines)
        ]
        for fake in fakes:
            await nursery.start(fake.run)
        world = MigrationScene(scene, grid, fakes)
        world.add_engine(0)
        await nursery.start(world.run_daemon)

        def take(message: dict[str, Any]) -> None:
            if message.get("message_type") == "migration":
                world.lines.append(message)

        eliot.add_destinations(take)
        world.lines.clear()
        try:
            yield world
        finally:
            eliot.remove_destination(take)
        nursery.cancel_scope.cancel()
