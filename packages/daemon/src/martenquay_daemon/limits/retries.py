"""Retry budget, which keeps retries from overloading runners further."""

from __future__ import annotations

__all__ = ["RetryBudget"]

_MAX_BALANCE = 20.0
_INITIAL_BALANCE = 5.0


class RetryBudget:
    """Retry budget that first attempts fill and retries spend.

    Attributes:
        balance: Number of retries allowed now.
    """

    def __init__(self, retries_per_call: float) -> None:
        self.balance = _INITIAL_BALANCE
        self._retries_per_call = retries_per_call

    def note_call(self) -> None:
        """Record a first attempt."""
        self.balance = min(self.balance + self._retries_per_call, _MAX_BALANCE)

    def take_retry(self) -> bool:
        """Spend one retry if allowed; return whether it was."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
