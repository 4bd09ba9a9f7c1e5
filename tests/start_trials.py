"""Start a real daemon beside drawn disturbances and judge how that ends."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import signal
from typing import TYPE_CHECKING

import trio

from martenquay_daemon import gateway
from tests import start_addresses
from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["StartPlan", "StartTrial", "draw_plan", "run_trial"]

# Ends a trial that hangs.
_HANG_S = 60.0
_POLL_INTERVAL_S = 0.01
_GRACE_S = 2.0
# Without its relay's address, a daemon serves.
_NEEDED = frozenset(start_addresses.ENDPOINTS) - {"relay"}
_MAX_TAKEN_S = 1.5 * _GRACE_S
_MAX_PAUSE_S = 0.5
_MAX_SIGNAL_S = 4.0
_MAX_RELOADS = 3


@dataclasses.dataclass(frozen=True)
class StartPlan:
    """Disturbances of one start; all times are in seconds.

    Attributes:
        taken: How long each taken address is held after signals are held.
        pauses: Pauses between the parts in which the settings are written;
            empty if they are written before the start.
        reloads: When SIGHUPs are sent.
        stop: When SIGTERM is sent; None once the daemon serves.
    """

    taken: dict[str, float]
    pauses: tuple[float, ...]
    reloads: tuple[float, ...]
    stop: float | None


@dataclasses.dataclass
class StartTrial:
    """How one start ended.

    Attributes:
        plan: The disturbances.
        status: Exit status of the daemon.
        served: Whether a request was answered.
        breaches: What must not have happened.
        output: The daemon's log texts and errors.
    """

    plan: StartPlan
    status: int | None = None
    served: bool = False
    breaches: list[str] = dataclasses.field(default_factory=list)
    output: str = ""


def draw_plan(seed: int) -> StartPlan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    endpoints = rng.sample(start_addresses.ENDPOINTS, rng.randint(0, 2))
    parts = rng.choice([0, 0, 2, 3, 5])
    reloads = [
        rng.uniform(0, _MAX_SIGNAL_S)
        for _ in range(rng.randint(0, _MAX_RELOADS))
    ]
    return StartPlan(
        {one: rng.uniform(0, _MAX_TAKEN_S) for one in endpoints},
        tuple(rng.uniform(0, _MAX_PAUSE_S) for _ in range(parts)),
        tuple(sorted(reloads)),
        rng.choice([None, None, rng.uniform(0, _MAX_SIGNAL_S)]),
    )


async def run_trial(seed: int) -> StartTrial:
    """Start a daemon with the disturbances of a seed and judge its end."""
    return await _Run(seed).run()


class _Run:
    """One trial."""

    def __init__(self, seed: int) -> None:
        self._trial = StartTrial(draw_plan(seed))
        self._addresses = start_addresses.create_addresses()
        self._holders: dict[str, contextlib.ExitStack] = {}
        self._was_reachable = False

    async def run(self) -> StartTrial:
        trial = self._trial
        with self._hold_addresses():
            with trio.move_on_after(_HANG_S) as scope:
                async with process_scene.open_process_scene(
                    listen=self._addresses.build_listen(),
                    grace_s=_GRACE_S,
                    prepare=self._prepare,
                ) as scene:
                    await self._play(scene)
                    trial.output = scene.describe()
            if scope.cancelled_caught:
                trial.breaches.append("hung")
        return trial

    @contextlib.contextmanager
    def _hold_addresses(self) -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            for endpoint in self._trial.plan.taken:
                holder = stack.enter_context(contextlib.ExitStack())
                holder.enter_context(self._addresses.take(endpoint))
                self._holders[endpoint] = holder
            yield

    def _prepare(self, scene: process_scene.ProcessScene) -> None:
        if self._trial.plan.pauses:
            scene.settings.unlink()

    async def _play(self, scene: process_scene.ProcessScene) -> None:
        plan = self._trial.plan
        await scene.wait_until_signals_are_held()
        async with trio.open_nursery() as nursery:
            for endpoint, held_s in plan.taken.items():
                nursery.start_soon(self._free, endpoint, held_s)
            if plan.pauses:
                nursery.start_soon(self._write_settings, scene)
            for at in plan.reloads:
                nursery.start_soon(_send_after, scene, at, signal.SIGHUP)
            if plan.stop is None:
                nursery.start_soon(self._check_request, scene)
            else:
                nursery.start_soon(
                    _send_after, scene, plan.stop, signal.SIGTERM
                )
            if "callers" not in plan.taken:
                nursery.start_soon(self._probe_callers)
            self._trial.status = await scene.wait_exit()
            nursery.cancel_scope.cancel()
        self._judge(scene)

    async def _free(self, endpoint: str, held_s: float) -> None:
        await trio.sleep(held_s)
        self._holders[endpoint].close()

    async def _write_settings(self, scene: process_scene.ProcessScene) -> None:
        text = scene.create_settings()
        pauses = self._trial.plan.pauses
        for number, pause_s in enumerate(pauses):
            await trio.sleep(pause_s)
            end = len(text) * (number + 1) // len(pauses)
            scene.settings.write_text(text[:end])

    async def _check_request(self, scene: process_scene.ProcessScene) -> None:
        """Send a request once the daemon serves, then stop it."""
        while not any(text.startswith("Started;") for text in scene.texts):
            await trio.sleep(_POLL_INTERVAL_S)
        await scene.wait_until_serving()
        stream = await scene.open_stream()
        reply = await scene.read_answer(stream)
        self._trial.served = reply.status == 200 and reply.is_whole
        scene.send_signals(signal.SIGTERM)

    async def _probe_callers(self) -> None:
        """Connect as a caller until a connection is accepted."""
        while not self._was_reachable:
            with contextlib.suppress(OSError):
                stream = await trio.open_tcp_stream(
                    *self._addresses.find("callers")
                )
                self._was_reachable = True
                await stream.aclose()
            await trio.sleep(_POLL_INTERVAL_S)

    def _judge(self, scene: process_scene.ProcessScene) -> None:
        trial = self._trial
        is_serving = any(text.startswith("Started;") for text in scene.texts)
        if self._was_reachable and not is_serving:
            trial.breaches.append("accepted a caller and did not serve")
        match trial.status:
            case 0:
                self._judge_stop(scene, is_serving=is_serving)
            case gateway.EXIT_START:
                self._judge_address_error(scene)
            case status:
                trial.breaches.append(f"ended with {status}")

    def _judge_stop(
        self, scene: process_scene.ProcessScene, *, is_serving: bool
    ) -> None:
        trial = self._trial
        if trial.plan.stop is None and not trial.served:
            trial.breaches.append("ended with 0 without having served")
        output = scene.describe()
        expected = "Stopped." if is_serving else "Stopped before"
        if expected not in output:
            trial.breaches.append("the stop has no line")

    def _judge_address_error(self, scene: process_scene.ProcessScene) -> None:
        trial = self._trial
        held = [
            self._addresses.format(endpoint)
            for endpoint, held_s in trial.plan.taken.items()
            if endpoint in _NEEDED and held_s >= _GRACE_S
        ]
        errors = scene.program.errors.decode().splitlines()
        last = errors[-1] if errors else ""
        if not any(f"{one} (setting listen." in last for one in held):
            trial.breaches.append("the address error names no taken address")


async def _send_after(
    scene: process_scene.ProcessScene, delay_s: float, number: signal.Signals
) -> None:
    await trio.sleep(delay_s)
    scene.send_signals(number)
