"""Stand in for observers of runners' words where nobody observes."""

from __future__ import annotations

__all__ = ["ignore_change", "ignore_notification"]


def ignore_change(signal: str, source: str) -> None:
    """Take a change and do nothing."""
    del signal, source


def ignore_notification() -> None:
    """Tell no other daemon."""
