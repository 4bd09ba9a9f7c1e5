"""Run scenarios under a mock clock that skips all sleeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio
import trio.testing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["ClockedTestCase"]


class ClockedTestCase(testtools.TestCase):
    """Base of test cases whose scenarios sleep without real time."""

    def run_clocked(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario under the mock clock."""
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
