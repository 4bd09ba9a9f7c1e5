"""No-op callbacks, the defaults until real observers are set."""

from __future__ import annotations

__all__ = ["ignore_signal", "ignore_notification"]


def ignore_signal(signal: str, source: str) -> None:
    """Ignore a signal of a runner."""
    del signal, source


def ignore_notification() -> None:
    """Ignore a request to notify other daemons."""
