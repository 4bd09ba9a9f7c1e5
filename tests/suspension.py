"""Suspend an instance: its steady clock stands, the other goes on."""

from __future__ import annotations

import dataclasses

__all__ = ["InstanceClocks"]


@dataclasses.dataclass
class InstanceClocks:
    """The clocks of one instance.

    Attributes:
        steady: Stands while the instance is suspended; waits are made on it.
        boot: Goes on.
    """

    steady: float = 100.0
    boot: float = 100.0

    def pass_time(self, seconds: float) -> None:
        """Let both go on."""
        self.steady += seconds
        self.boot += seconds

    def suspend(self, seconds: float) -> None:
        """Let an instance sleep."""
        self.boot += seconds
