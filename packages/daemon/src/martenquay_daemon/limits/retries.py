"""Keep retries a small share of all calls, so that they end no recovery."""

from __future__ import annotations

__all__ = ["RetryBudget"]

_MAX_SAVED = 20.0
_START = 5.0


class RetryBudget:
    """A balance that calls fill and retries spend.

    Attributes:
        balance: Retries that may be made now.
    """

    def __init__(self, share: float) -> None:
        self.balance = _START
        self._share = share

    def note_call(self) -> None:
        """Note a first try."""
        self.balance = min(self.balance + self._share, _MAX_SAVED)

    def take_retry(self) -> bool:
        """Spend one retry; tell whether there was one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
