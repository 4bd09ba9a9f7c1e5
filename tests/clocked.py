"""Run scenarios under a mock clock that skips all sleeps."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from unittest import mock

import testtools
import trio
import trio.testing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["ClockedTestCase", "run_seeded"]


def run_seeded(scenario: Callable[[], Awaitable[None]], seed: int) -> None:
    """Run a scenario under the mock clock, each time in the same order.

    Otherwise trio shuffles the tasks that are due at the same time.
    """
    scheduler = trio._core._run
    with (
        mock.patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(scheduler, "_r", random.Random(seed)),
    ):
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


class ClockedTestCase(testtools.TestCase):
    """Base of test cases whose scenarios sleep without real time."""

    def run_clocked(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario under the mock clock."""
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
