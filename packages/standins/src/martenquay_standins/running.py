"""Hold daemons that run, in this process or in one of their own."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import signal

    import trio

    from martenquay_daemon import daemon

__all__ = ["DaemonProcess", "LocalDaemon"]


@dataclasses.dataclass
class LocalDaemon:
    """A daemon in this process.

    Attributes:
        process: The daemon.
        addresses: Where it listens.
        scope: Cancelled to end it at once.
        ended: Set when it has ended.
    """

    process: daemon.Daemon
    addresses: daemon.Addresses
    scope: trio.CancelScope
    ended: trio.Event


@dataclasses.dataclass
class DaemonProcess:
    """A daemon in a process of its own.

    Attributes:
        process: The process.
        addresses: Where it listens.
        member: The daemon's id.
    """

    process: trio.Process
    addresses: daemon.Addresses
    member: str

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, such as SIGKILL, SIGSTOP or SIGCONT."""
        self.process.send_signal(number)
