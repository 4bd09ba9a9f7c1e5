"""Handles of running daemons, in this process or in their own."""

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
    """A daemon that runs in this process.

    Attributes:
        process: The daemon object.
        addresses: Addresses of its listeners.
        scope: Cancelling it stops the daemon at once.
        ended: Set when the daemon has stopped.
    """

    process: daemon.Daemon
    addresses: daemon.Addresses
    scope: trio.CancelScope
    ended: trio.Event


@dataclasses.dataclass
class DaemonProcess:
    """A daemon that runs as a subprocess.

    Attributes:
        process: The process.
        addresses: Addresses of its listeners.
        member: The id of the daemon process in the fleet.
    """

    process: trio.Process
    addresses: daemon.Addresses
    member: str

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, such as SIGKILL, SIGSTOP or SIGCONT."""
        self.process.send_signal(number)
