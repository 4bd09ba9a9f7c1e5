"""Stand in for observers of runners' words where nobody observes."""

from __future__ import annotations

__all__ = ["ignore_change", "tell_nobody"]


def ignore_change(signal: str, source: str) -> None:
    """Take a change and do nothing."""
    del signal, source


def tell_nobody() -> None:
    """Tell no other daemon."""
