"""A copy of the runners' entries holds what the age that it names says."""

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
    """One thing that happens.

    Attributes:
        kind: Which.
        who: A runner or a daemon.
        other: Another daemon.
        wait_s: How long it takes, or time passes after it.
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
    # What is read and what is written at one moment have no order.
    await trio.sleep(0.01)


class EntryCopiesTest(clocked.ClockedTestCase):
    # The hub of a zone read the log again after an outage; a runner that ended
    # a moment later was kept for 2.2 s, for it might have come back. A daemon
    # that copied the hub's entries in that time was told the end of what the
    # hub had read, so it never read the record itself; when the hub dropped
    # the runner, that was no news for anybody. The runner got requests 5.4 s
    # after its entry had gone, by entries said to be 793 ms old.
    def test_an_end_that_a_hub_defers_is_known_to_those_that_copy_it(
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

    def test_a_runner_that_came_back_stays_with_those_that_copied_its_end(
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
