"""Loopback address of this test run, apart from those of other runs."""

from __future__ import annotations

import ipaddress
import os

__all__ = ["HOST", "VARIABLE", "create_address"]

# Environment variable by which the programs of a run get its address.
VARIABLE = "MARTENQUAY_LOOPBACK_HOST"

# Above 127.0.0.1, the source address of connections over loopback, whose
# ephemeral ports could otherwise be those of a listener that restarts.
_FIRST = ipaddress.IPv4Address("127.64.0.0")

# Two runs at one address would meet at ports that one of them has freed. Ids of
# processes have at most 22 bits, so each process has an address of its own.
HOST = os.environ.get(VARIABLE) or str(_FIRST + os.getpid())


def create_address(port: int = 0) -> str:
    """Return host and port; port 0 lets the system choose."""
    return f"{HOST}:{port}"
