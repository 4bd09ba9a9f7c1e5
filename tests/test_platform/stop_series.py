"""Play drawn signals in series at a daemon's process that has callers."""

from __future__ import annotations

import dataclasses
import random
import signal

import trio

from tests import paced_runner
from tests.test_platform import process_scene, stop_callers

__all__ = ["StopReport", "play_stops"]

_GRACES_S = (6.0, 8.0)
_CALLERS = 9
_EVENT_S = (0.002, 0.02)
_MAX_TOKENS = (20, 300)
_SLOWDOWNS = (1.0, 1.0, 3.0, 6.0)
_WARM_UP_S = (1.0, 2.5)
_MAX_SIGNALS = 6
_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# The end of what a caller reads may come after the process's exit.
_READ_S = 0.3


@dataclasses.dataclass
class StopReport:
    """What was seen in the stops of one seed.

    Attributes:
        problems: What was lost, or how a process ended wrongly.
        requests: Requests sent.
        answered: Requests answered whole with success.
        rejected: Requests rejected as not run.
        cut_off: Requests that ran and were cut off, excused ones among them.
        took_s: Seconds from SIGTERM to the exit, by stop.
    """

    problems: list[str] = dataclasses.field(default_factory=list)
    requests: int = 0
    answered: int = 0
    rejected: int = 0
    cut_off: int = 0
    took_s: list[float] = dataclasses.field(default_factory=list)


async def play_stops(seed: int, stops: int = 2) -> StopReport:
    """Stop one daemon several times, restarting it at once.

    Args:
        seed: Seed of all draws.
        stops: Number of stops.
    """
    rng = random.Random(seed)
    report = StopReport()
    runner = paced_runner.PacedRunner(rng.uniform(*_EVENT_S))
    async with process_scene.open_process_scene(
        grace_s=rng.choice(_GRACES_S), runner=runner
    ) as scene:
        await scene.wait_until_serving()
        max_tokens = rng.randint(*_MAX_TOKENS)
        habits = list(stop_callers.Habit)
        callers = [
            stop_callers.Caller(
                f"c{number}",
                scene,
                random.Random(f"{seed} {number}"),
                max_tokens,
                habits[number % len(habits)],
            )
            for number in range(_CALLERS)
        ]
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.run)
            for number in range(stops):
                if number:
                    await scene.restart(nursery)
                    await scene.wait_until_serving()
                await _play_stop(scene, runner, callers, rng, report)
            nursery.cancel_scope.cancel()
    sent = [one for caller in callers for one in caller.sent]
    report.requests = len(sent)
    report.answered = sum(one.reply.status == 200 for one in sent)
    report.cut_off = sum(
        one.id in runner.runs and not one.reply.is_whole
        for one in sent
        if one.ended_at is not None
    )
    report.rejected = sum(one.reply.status in {429, 503} for one in sent)
    return report


async def _play_stop(
    scene: process_scene.ProcessScene,
    runner: paced_runner.PacedRunner,
    callers: list[stop_callers.Caller],
    rng: random.Random,
    report: StopReport,
) -> None:
    usual_s = runner.event_s
    before = {caller: len(caller.sent) for caller in callers}
    await trio.sleep(rng.uniform(*_WARM_UP_S))
    if rng.random() < 0.5:
        scene.grace_s = rng.choice(_GRACES_S)
        scene.change_settings()
        scene.send_signals(signal.SIGHUP)
        await scene.wait_text("Applied the changed settings")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_slow_down, runner, rng)
        stopped_at = trio.current_time()
        scene.send_signals(signal.SIGTERM)
        nursery.start_soon(_send_signals, scene, rng)
        with trio.move_on_after(scene.grace_s) as limit:
            status = await scene.wait_exit()
        took_s = trio.current_time() - stopped_at
        nursery.cancel_scope.cancel()
    report.took_s.append(round(took_s, 2))
    if limit.cancelled_caught:
        report.problems.append(f"not ended within {scene.grace_s} s")
        scene.send_signals(signal.SIGKILL)
        await scene.wait_exit()
    elif status:
        report.problems.append(f"exit status {status}: {scene.describe()}")
    await trio.sleep(_READ_S)
    sent = [one for caller in callers for one in caller.sent[before[caller] :]]
    problems = stop_callers.judge(sent, runner.runs, stopped_at, scene.grace_s)
    if problems:
        lines = [line for line in scene.lines if _is_about_stop(line)]
        report.problems.extend([*problems, *map(str, lines[-20:])])
    runner.event_s = usual_s


def _is_about_stop(line: dict[str, object]) -> bool:
    return line.get("message_type") in {"gateway", "stops", "signals"}


async def _slow_down(
    runner: paced_runner.PacedRunner, rng: random.Random
) -> None:
    """Change the runner's pace at a drawn time of the stop."""
    await trio.sleep(rng.choice((0.0, rng.uniform(0.0, 4.0))))
    runner.event_s *= rng.choice(_SLOWDOWNS)


async def _send_signals(
    scene: process_scene.ProcessScene, rng: random.Random
) -> None:
    """Send drawn signals until the process has gone."""
    moments = sorted(
        rng.uniform(0.0, scene.grace_s)
        for _ in range(rng.randint(0, _MAX_SIGNALS))
    )
    began_at = trio.current_time()
    for moment in moments:
        await trio.sleep_until(began_at + moment)
        if rng.random() < 0.3:
            scene.change_settings()
        scene.send_signals(rng.choice(_SIGNALS))
