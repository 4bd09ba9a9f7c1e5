"""Describe relayed streams for the plan, and learn from those that end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.migration import lengths, plan

if TYPE_CHECKING:
    from martenquay_daemon.migration import stream as streams

__all__ = ["StreamStates"]


class StreamStates:
    """Expected sizes and ends of relayed streams."""

    def __init__(self) -> None:
        self._lengths = lengths.StreamLengths()

    def note_end(self, stream: streams.WatchedStream) -> None:
        """Learn from a complete stream if one runner has sent all of it."""
        progress = stream.find_progress()
        if progress.tokens_out and progress.events == progress.events_here:
            self._lengths.note(
                stream.current.service,
                progress.tokens_out,
                progress.events,
                progress.elapsed_s,
            )

    def describe(self, stream: streams.WatchedStream) -> plan.StreamState:
        """Return a stream's size and expected end.

        While too few streams have ended, the stream is assumed to take all of
        its time and to be as large as it may become.
        """
        current = stream.current
        progress = stream.find_progress()
        tokens_out = progress.tokens_out or 0
        made = tokens_out
        expected = self._lengths.find_events(current.service, tokens_out)
        if expected:
            made = min(tokens_out, int(tokens_out * progress.events / expected))
        deadline_s = current.deadline - trio.current_time()
        remaining_s = self._lengths.find_remaining_s(current.service, progress)
        return plan.StreamState(
            current.call.id,
            (current.call.tokens_in or 0) + made,
            min(remaining_s, max(0.0, deadline_s)),
            current.route.is_resumable,
            stream.has_begun,
            frozenset(current.refused_targets | current.excluded_runners),
        )
