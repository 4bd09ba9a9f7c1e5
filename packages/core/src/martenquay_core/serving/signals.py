"""What a runner says of its own state in an answer, free of wire names."""

from __future__ import annotations

import dataclasses

__all__ = ["NO_SIGNALS", "RunnerSignals"]


@dataclasses.dataclass(frozen=True)
class RunnerSignals:
    """The state of a runner, as one of its answers tells it.

    Attributes:
        limit_per_s: Requests a second that it takes from all daemons together;
            None if it names no limit.
        is_limit_unreadable: It names one that is no number: then the answer
            tells neither of a limit nor of the end of one.
        is_leaving: It ends soon and wants no new work.
        retry_after_s: How long the runner, which refused the request, accepts
            none of this daemon; None if it names no time.
        is_retry_after_unreadable: It names a time that is no number of seconds.
    """

    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    is_retry_after_unreadable: bool = False


NO_SIGNALS = RunnerSignals()
