"""Read CLOCK_BOOTTIME, which includes the time an instance was suspended.

`held_signals` imports this module at process start, so it imports only what is
built into the interpreter.
"""

import time

__all__ = ["read_boot_time"]


def read_boot_time() -> float:
    """Return the seconds since boot, including suspension.

    CLOCK_MONOTONIC stops while an instance is suspended, so a lease that
    others have taken over would still look valid on resume. CLOCK_REALTIME
    goes on but may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
