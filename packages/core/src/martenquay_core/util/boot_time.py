"""Read the clock that counts an instance's suspension.

Nothing but the standard library is imported here, as for `held_signals`.
"""

from __future__ import annotations

import time

__all__ = ["read_boot_time"]


def read_boot_time() -> float:
    """Return the seconds since the instance was booted, asleep or not.

    The steady clock stands while an instance is suspended: on waking, a lease,
    a loan or an entry would be as young as before, while others have long
    taken over. The time of day goes on too, but it jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
