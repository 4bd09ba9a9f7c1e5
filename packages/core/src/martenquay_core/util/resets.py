"""Tell the end of a peer's bytes from a reset that a write has reported.

The kernel reports a reset once for each socket. If a write gets the error, the
next read returns an end of file behind the bytes that have arrived, as if the
peer had ended them; that would complete an answer without a length.
"""

from __future__ import annotations

import errno

__all__ = ["may_hide_reset"]


def may_hide_reset(error: BaseException) -> bool:
    """Return whether an end of file after a failed write may be a reset.

    A peer that has ended its bytes before it resets the connection is reported
    as EPIPE; all that it has sent arrives before the end of file.

    Args:
        error: The error of the write; the system's error is its cause or the
            cause of that.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError):
            return cause.errno != errno.EPIPE
        cause = cause.__cause__
    return True
