"""Simulate the clocks of an instance that is suspended."""

from __future__ import annotations

import dataclasses

__all__ = ["InstanceClocks"]


@dataclasses.dataclass
class InstanceClocks:
    """The clocks of one instance.

    Attributes:
        steady: Monotonic clock, which stops during a suspension.
        boot: Boot-time clock, which includes suspensions.
    """

    steady: float = 100.0
    boot: float = 100.0

    def advance(self, seconds: float) -> None:
        """Advance both clocks."""
        self.steady += seconds
        self.boot += seconds

    def suspend(self, seconds: float) -> None:
        """Suspend the instance."""
        self.boot += seconds
