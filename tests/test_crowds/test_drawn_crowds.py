"""Drawn crowds at several ports leave the process small and serving.

`CROWD_SEEDS` is the number of seeds, `CROWD_SEED` the first one.
"""

from __future__ import annotations

import contextlib
import os
import random

from testtools import content

from tests import crowd_case, crowd_scene, drawn_clients

_SEEDS = int(os.environ.get("CROWD_SEEDS", "4"))
_FIRST_SEED = int(os.environ.get("CROWD_SEED", "1"))
_CLIENTS = 60
_DESCRIPTORS = 256


class DrawnCrowdsTest(crowd_case.CrowdCase):
    def test_drawn_crowds(self) -> None:
        for seed in range(_FIRST_SEED, _FIRST_SEED + _SEEDS):
            # Told with a failure.
            self.addDetail("seed", content.text_content(str(seed)))
            self._play_seed(seed)

    def _play_seed(self, seed: int) -> None:
        generator = random.Random(seed)
        plans = [drawn_clients.draw_plan(generator) for _ in range(_CLIENTS)]

        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            remaining = list(plans)
            async with contextlib.AsyncExitStack() as stack:

                async def play(scene: crowd_scene.CrowdScene) -> None:
                    plan = remaining.pop()
                    stream = await scene.connect(plan.endpoint)
                    await stack.enter_async_context(stream)
                    await drawn_clients.play_plan(plan, stream)

                await scene.play(_CLIENTS, play)
                await self.assert_healthy(scene)
                self.assertLess(scene.count_descriptors(), _DESCRIPTORS)

        self.play(scenario, descriptors=_DESCRIPTORS)
