"""State that a runner reports in an answer, independent of header names."""

from __future__ import annotations

import dataclasses

__all__ = ["NO_SIGNALS", "RunnerSignals"]


@dataclasses.dataclass(frozen=True)
class RunnerSignals:
    """State that a runner reported with one answer.

    Attributes:
        limit_per_s: The runner's rate limit in requests a second, over all
            daemons together; None if the answer has no limit.
        is_limit_unreadable: The limit is not a number, so the answer neither
            sets a limit nor lifts one.
        is_leaving: The runner is draining and accepts no new requests.
        retry_after_s: Backoff in seconds that the runner asks of this daemon
            when it rejects a request; None if the answer has none.
        is_retry_after_unreadable: The time is not a number of seconds.
    """

    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    is_retry_after_unreadable: bool = False


NO_SIGNALS = RunnerSignals()
