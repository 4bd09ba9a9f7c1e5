"""Start the daemon, holding signals until it can handle them."""

from __future__ import annotations

from martenquay_core.util import held_signals

__all__ = ["start"]


def start() -> None:
    """Run the daemon; the entry point of `martenquayd`."""
    held = held_signals.hold_signals(ends_at_stop=True)
    # Imported late: a signal during this slow import would end the process if
    # signals were not held yet.
    from martenquay_daemon import main  # noqa: PLC0415

    main.start(held)
