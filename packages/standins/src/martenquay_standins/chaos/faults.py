"""Seeded fault injection into a test environment."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import trio

from martenquay_standins import network, partners, running, world

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["FaultInjector"]

_FAULT_S = 0.8
_RECLAIM_NOTICE_S = 0.3
_MAX_PAUSE_S = 0.3


class FaultInjector:
    """Injects faults one at a time, each ended before the next one begins.

    Attributes:
        daemons: The running daemons by partner.
        done: Names of the faults injected so far.
    """

    def __init__(
        self,
        test_world: world.World,
        daemons: dict[str, list[running.DaemonProcess]],
        seed: int,
    ) -> None:
        self.daemons = daemons
        self.done: list[str] = []
        self._world = test_world
        self._random = random.Random(seed)
        self._start_count = 0

    async def inject_faults(self, count: int) -> None:
        """Inject `count` faults one after the other, with pauses."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_daemon,
            self._freeze_daemon,
            self._cut_zones,
            self._cut_platform,
            self._stop_log,
            self._lose_log_answers,
            self._delay_log_effects,
            self._break_services,
            self._reclaim_runner,
        ]
        # An independent draw each time could leave out a kind.
        chosen = [kinds[number % len(kinds)] for number in range(count)]
        self._random.shuffle(chosen)
        for fault in chosen:
            self.done.append(fault.__name__.strip("_"))
            await fault()
            await trio.sleep(_MAX_PAUSE_S * self._random.random())

    def _choose_daemon(
        self,
    ) -> tuple[partners.PartnerPlan, running.DaemonProcess]:
        plan = self._random.choice(self._world.plans)
        return plan, self._random.choice(self.daemons[plan.name])

    async def _kill_daemon(self) -> None:
        plan, daemon = self._choose_daemon()
        daemon.send_signal(signal.SIGKILL)
        await daemon.process.wait()
        self.daemons[plan.name].remove(daemon)
        self._start_count += 1
        zone = self._random.choice(plan.zones)
        replacement = await self._world.start_process(
            plan, zone, f"entry-new-{self._start_count}"
        )
        self.daemons[plan.name].append(replacement)

    async def _freeze_daemon(self) -> None:
        _, daemon = self._choose_daemon()
        daemon.send_signal(signal.SIGSTOP)
        await trio.sleep(_FAULT_S * (1 + self._random.random()))
        daemon.send_signal(signal.SIGCONT)

    async def _cut_zones(self) -> None:
        plan = self._random.choice(self._world.plans)
        first, second = self._random.sample(plan.zones, 2)
        await self._cut(first, second)

    async def _cut_platform(self) -> None:
        plan = self._random.choice(self._world.plans)
        await self._cut(self._random.choice(plan.zones), network.PLATFORM)

    async def _cut(self, first: str, second: str) -> None:
        assert self._world.network is not None
        self._world.network.cut(first, second)
        await trio.sleep(_FAULT_S * (1 + self._random.random()))
        self._world.network.heal()

    async def _stop_log(self) -> None:
        self._world.log.set_faults({"down": True})
        await trio.sleep(_FAULT_S)
        self._world.log.set_faults({"down": False})

    async def _lose_log_answers(self) -> None:
        count = self._random.randint(1, 8)
        self._world.log.set_faults({"lose_answers": count})
        await trio.sleep(_FAULT_S)
        self._world.log.set_faults({"lose_answers": 0})

    async def _delay_log_effects(self) -> None:
        late_s = self._random.choice([0.2, 1.5, 3.0])
        self._world.log.set_faults({"late_effect_s": late_s})
        await trio.sleep(_FAULT_S)
        self._world.log.set_faults({"late_effect_s": 0.0})

    async def _break_services(self) -> None:
        apps = [
            running.app
            for name, running in self._world.runners.items()
            if name.startswith("service")
        ]
        for app in apps:
            app.set_faults({"break_answers": True})
        await trio.sleep(_FAULT_S)
        for app in apps:
            app.set_faults({"break_answers": False})

    async def _reclaim_runner(self) -> None:
        models = [
            name for name in self._world.runners if name.startswith("model")
        ]
        name = self._random.choice(models)
        plan = next(p for p in self._world.plans if f"-{p.name}-" in name)
        zone = self._random.choice(plan.zones)
        self._start_count += 1
        # Without a replacement, the pool would run out of runners.
        await self._world.add_engine(
            plan, zone, f"model-{plan.name}-new-{self._start_count}"
        )
        self._world.instances.give_notice(name, zone)
        await trio.sleep(_RECLAIM_NOTICE_S)
        self._world.runners.pop(name).kill()
        self._world.instances.remove(name)
