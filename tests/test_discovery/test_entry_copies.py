"""A copy of the runners' entries is complete up to its stated age."""

from __future__ import annotations

import dataclasses

import hypothesis
import testtools
import trio
import trio.testing
from hypothesis import strategies

from tests import clocked, entry_world

_DAEMONS = 3
_RUNNERS = 2
_STEPS = 40


@dataclasses.dataclass(frozen=True)
class _Step:
    """One step of a drawn scenario.

    Attributes:
        kind: What happens.
        who: Number of the runner or the daemon.
        other: Number of the daemon that is copied.
        wait_s: Duration of the step, or time that passes after it.
    """

    kind: str
    who: int
    other: int
    wait_s: float


_KINDS = (
    *("put", "put", "leave", "end", "again"),
    *("read", "read", "copy", "copy", "copy"),
    *("lose", "lose", "restart", "pass"),
)
_DRAWN = strategies.lists(
    strategies.builds(
        _Step,
        strategies.sampled_from(_KINDS),
        strategies.integers(0, _DAEMONS - 1),
        strategies.integers(0, _DAEMONS - 1),
        strategies.sampled_from((0.0, 0.1, 1.1, 2.3, 4.0)),
    ),
    min_size=4,
    max_size=_STEPS,
)


async def _do(world: entry_world.EntryWorld, step: _Step) -> None:
    daemon = world.daemons[step.who]
    runner = step.who % _RUNNERS
    match step.kind:
        case "put":
            world.put(runner)
        case "leave":
            world.put(runner, is_leaving=True)
        case "again":
            world.put(runner, is_new=True)
        case "end":
            world.end(runner)
        case "read":
            await daemon.read()
        case "copy":
            await daemon.copy_from(world.daemons[step.other], step.wait_s)
        case "lose":
            await world.lose_log(step.who, 1.0 + 2 * step.wait_s)
        case "restart":
            await world.restart(step.who)
        case _:
            await trio.sleep(step.wait_s)
    # Without it, a read and a write at the same time would have no order.
    await trio.sleep(0.01)


class EntryCopiesTest(clocked.ClockedTestCase):
    # A hub's copy sent during the grace time after an outage must have the
    # removal: its receivers don't read that record themselves.
    def test_a_removal_that_a_hub_defers_reaches_those_that_copy_it(
        self,
    ) -> None:
        async def scenario() -> None:
            world = entry_world.EntryWorld(2)
            hub, reader = world.daemons
            world.put(1)
            await hub.read()
            await reader.copy_from(hub, 0.01)
            await world.lose_log(0, 7.0)
            world.end(1)
            await trio.sleep(1.1)
            await hub.read()
            await reader.copy_from(hub, 0.01)
            await trio.sleep(3.0)
            self.assertEqual(set(), reader.list_usable())

        self.run_clocked(scenario)

    def test_a_runner_that_returns_stays_with_those_that_copied_its_removal(
        self,
    ) -> None:
        async def scenario() -> None:
            world = entry_world.EntryWorld(2)
            hub, reader = world.daemons
            world.put(1)
            await hub.read()
            await reader.copy_from(hub, 0.01)
            await world.lose_log(0, 7.0)
            world.end(1)
            await hub.read()
            await reader.copy_from(hub, 0.01)
            world.put(1)
            await hub.read()
            await reader.copy_from(hub, 0.01)
            await trio.sleep(5.0)
            self.assertEqual({"r-1"}, hub.list_usable())
            self.assertEqual({"r-1"}, reader.list_usable())

        self.run_clocked(scenario)


class DrawnCopiesTest(testtools.TestCase):
    @hypothesis.settings(
        max_examples=1500,
        deadline=None,
        derandomize=True,
        database=None,
    )
    @hypothesis.given(steps=_DRAWN)
    def test_no_daemon_knows_less_than_its_age_says(
        self, steps: list[_Step]
    ) -> None:
        async def scenario() -> None:
            world = entry_world.EntryWorld(_DAEMONS)
            for step in steps:
                await _do(world, step)
                for number, daemon in enumerate(world.daemons):
                    wrong = world.list_wrong(daemon)
                    self.assertEqual([], wrong, f"daemon {number}")

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
