"""Enter the daemon with its signals held from the first line on."""

from __future__ import annotations

from martenquay_core.util import held_signals

__all__ = ["start"]


def start() -> None:
    """Run the daemon; the entry point of the binary."""
    held = held_signals.hold_signals()
    # Importing it takes long enough for a signal to end the process.
    from martenquay_daemon import main  # noqa: PLC0415

    main.start(held)
