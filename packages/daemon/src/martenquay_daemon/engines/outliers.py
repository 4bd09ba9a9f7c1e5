"""Detect engines that are slow for a moment, by late or missing results."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["OutlierDetector", "Pending"]

_LOG = logs.create_log("engines")
# A first event is late after this multiple of the expected time plus a margin
# for steps and network. Engines that are slow for a moment are 2.5 times
# slower; queues known late make first events about 1.5 times later.
_LATE_FACTOR = 2.0
_LATE_MARGIN_S = 0.05
# Speed of an engine found slow, relative to its usual speed.
_SLOW_FACTOR = 0.4
# Pause until a request may probe the engine. Slow periods last about 0.6 s, so
# most have ended after one or two pauses.
_PROBE_PAUSE_S = 0.4
# An engine found slow that gets no request for longer is likely gone.
_MAX_UNUSED_S = 30.0


def _ignore(runner_id: str, reason: str) -> None:
    del runner_id, reason


@dataclasses.dataclass(eq=False)
class Pending:
    """A request whose first event has not arrived.

    Attributes:
        sent_at: When it was sent, in trio's time.
        expected_s: Expected seconds to its first event.
        is_probe: Whether it probes an engine that was found slow.
    """

    sent_at: float
    expected_s: float
    is_probe: bool = False

    def is_late(self, elapsed_s: float) -> bool:
        """Return whether a first event is late after this many seconds."""
        return elapsed_s > _LATE_FACTOR * self.expected_s + _LATE_MARGIN_S


@dataclasses.dataclass
class _EngineState:
    """Requests without a first event at one engine, and whether it is slow.

    Attributes:
        pending: The requests, oldest first.
        probe_at: When the engine may be probed; None if it is not slow.
    """

    pending: dict[Pending, None] = dataclasses.field(default_factory=dict)
    probe_at: float | None = None

    def is_probed(self) -> bool:
        """Return whether a probe is on its way."""
        return any(one.is_probe for one in self.pending)


class OutlierDetector:
    """Finds engines slow at a late result, or at one that is overdue.

    A slow engine is expected to need 2.5 times as long. After a pause, the
    next request sent there is a probe: it was placed at the usual speed, and
    if its first event is on time, the engine is no longer slow.

    Attributes:
        on_change: Called with a runner id and the reason when an engine is
            found slow ("late", "overdue") or readmitted ("readmitted").
    """

    def __init__(self) -> None:
        self.on_change: Callable[[str, str], None] = _ignore
        self._engines: dict[str, _EngineState] = {}

    def find_factor(self, runner_id: str) -> float:
        """Return the current speed relative to the usual one, at most 1."""
        state = self._engines.get(runner_id)
        if state is None:
            return 1.0
        now = trio.current_time()
        if state.probe_at is None and any(
            one.is_late(now - one.sent_at) for one in state.pending
        ):
            self._set_slow(runner_id, state, "overdue")
        if state.probe_at is None:
            return 1.0
        may_probe = now >= state.probe_at and not state.is_probed()
        return 1.0 if may_probe else _SLOW_FACTOR

    @contextlib.contextmanager
    def watch(self, runner_id: str, expected_s: float) -> Iterator[Pending]:
        """Expect a first event while the context is open.

        Args:
            runner_id: Id of the runner to which the request is sent.
            expected_s: Expected seconds to its first event.
        """
        now = trio.current_time()
        state = self._engines.setdefault(runner_id, _EngineState())
        is_probe = (
            state.probe_at is not None
            and now >= state.probe_at
            and not state.is_probed()
        )
        pending = Pending(now, expected_s, is_probe)
        state.pending[pending] = None
        try:
            yield pending
        finally:
            state.pending.pop(pending, None)
            self._drop_if_unused(runner_id, state)

    def note_first_event(
        self, runner_id: str, pending: Pending, took_s: float
    ) -> bool:
        """Record the first event of a watched request.

        Args:
            runner_id: Id of the runner.
            pending: The request.
            took_s: Seconds from sending it to its first event.

        Returns:
            Whether it is still watched: not once another process has replaced
            the engine, as the event tells nothing about the new process.
        """
        state = self._engines.get(runner_id)
        if state is None or pending not in state.pending:
            return False
        del state.pending[pending]
        if pending.is_late(took_s):
            self._set_slow(runner_id, state, "late")
        elif pending.is_probe:
            state.probe_at = None
            self._note_change(runner_id, "readmitted")
        return True

    def forget(self, runner_id: str) -> None:
        """Drop an engine's state, as another process has replaced it."""
        self._engines.pop(runner_id, None)

    def _set_slow(
        self, runner_id: str, state: _EngineState, reason: str
    ) -> None:
        is_new = state.probe_at is None
        if is_new:
            self._drop_unused()
        state.probe_at = trio.current_time() + _PROBE_PAUSE_S
        if is_new:
            self._note_change(runner_id, reason)

    def _drop_unused(self) -> None:
        """Drop engines found slow to which nothing has been sent since."""
        oldest = trio.current_time() - _MAX_UNUSED_S
        for runner_id, state in list(self._engines.items()):
            is_old = state.probe_at is not None and state.probe_at < oldest
            if is_old and not state.pending:
                del self._engines[runner_id]

    def _note_change(self, runner_id: str, reason: str) -> None:
        _LOG.write(
            f"Runner {runner_id} is {reason}.", runner=runner_id, reason=reason
        )
        self.on_change(runner_id, reason)

    def _drop_if_unused(self, runner_id: str, state: _EngineState) -> None:
        is_unused = not state.pending and state.probe_at is None
        if is_unused and self._engines.get(runner_id) is state:
            del self._engines[runner_id]
