"""Model of the claim protocol: an idempotency key is executed at most once.

Two daemons claim one key in a short log. A claim is unsent, in flight (the
answer to its append was lost) or in the log. A daemon makes the call only after
it has read back from the log that its claim holds the key. A daemon that gives
up appends a release, which may reach the log before its claim. A frozen daemon
is one that takes no action.

Each injected bug must be found: a call without reading back, a call after
giving up, a losing claim that takes over after a release.
"""

from __future__ import annotations

import enum
from typing import Any

import z3

__all__ = ["InjectedBug", "ClaimSpecification", "DaemonState"]

DAEMONS = (0, 1)
LOG_LENGTH = 4


class InjectedBug(enum.Enum):
    """Protocol bugs that the checker must find."""

    NONE = "none"
    CALL_WITHOUT_READING = "call without reading back"
    CALL_AFTER_GIVING_UP = "call after giving up"
    LOSER_TAKES_OVER = "a losing claim takes over after a release"


class DaemonState(enum.IntEnum):
    """State of the claim of one daemon."""

    IDLE = 0
    SENT = 1
    WON = 2
    LOST = 3
    CALLED = 4
    GIVEN_UP = 5


# Contents of a log position.
_EMPTY, _CLAIM_0, _CLAIM_1, _RELEASE_0, _RELEASE_1 = range(5)
_CLAIMS = (_CLAIM_0, _CLAIM_1)
_RELEASES = (_RELEASE_0, _RELEASE_1)


class ClaimSpecification:
    """Transition system of the claim protocol for one key."""

    def __init__(self, bug: InjectedBug = InjectedBug.NONE) -> None:
        self._bug = bug

    def make_state(self, step: int) -> dict[str, Any]:
        """Return new variables for the state after `step` transitions."""
        state: dict[str, Any] = {}
        for position in range(LOG_LENGTH):
            state[f"log{position}"] = z3.Int(f"log{position}_{step}")
        state["end"] = z3.Int(f"end_{step}")
        for daemon in DAEMONS:
            state[f"at{daemon}"] = z3.Int(f"at{daemon}_{step}")
            state[f"flying{daemon}"] = z3.Bool(f"flying{daemon}_{step}")
            state[f"releasing{daemon}"] = z3.Bool(f"releasing{daemon}_{step}")
            state[f"said_not_run{daemon}"] = z3.Bool(f"said{daemon}_{step}")
        state["calls"] = z3.Int(f"calls_{step}")
        return state

    def is_initial(self, state: dict[str, Any]) -> Any:
        """Return the condition of an empty log and idle daemons."""
        conditions = [state["end"] == 0, state["calls"] == 0]
        conditions += [
            state[f"log{position}"] == _EMPTY for position in range(LOG_LENGTH)
        ]
        for daemon in DAEMONS:
            conditions.append(state[f"at{daemon}"] == DaemonState.IDLE)
            conditions.append(z3.Not(state[f"flying{daemon}"]))
            conditions.append(z3.Not(state[f"releasing{daemon}"]))
            conditions.append(z3.Not(state[f"said_not_run{daemon}"]))
        return z3.And(conditions)

    def is_transition(
        self, before: dict[str, Any], after: dict[str, Any]
    ) -> Any:
        """Return the condition that one daemon acts or nothing changes."""
        actions = [_update(before, after, {})]
        for daemon in DAEMONS:
            actions += self._list_actions(before, after, daemon)
        return z3.Or(actions)

    def is_safe(self, state: dict[str, Any]) -> Any:
        """Return the condition that the key is executed as callers were told.

        There is at most one call, and none if each daemon that took part
        answered "not run". A daemon that has lost doesn't hold the key, since
        it would neither call nor release.
        """
        all_said_not_run = z3.And(
            [
                z3.Or(
                    state[f"said_not_run{daemon}"],
                    state[f"at{daemon}"] == DaemonState.IDLE,
                )
                for daemon in DAEMONS
            ]
        )
        stuck = [
            z3.And(
                state[f"at{daemon}"] == DaemonState.LOST,
                self.holds(state, daemon),
            )
            for daemon in DAEMONS
        ]
        return z3.And(
            state["calls"] <= 1,
            z3.Implies(all_said_not_run, state["calls"] == 0),
            z3.Not(z3.Or(stuck)),
        )

    def _list_actions(
        self, before: dict[str, Any], after: dict[str, Any], daemon: int
    ) -> list[Any]:
        at, in_flight = f"at{daemon}", f"flying{daemon}"
        said_not_run, releasing = f"said_not_run{daemon}", f"releasing{daemon}"
        actions = [
            # The claim is sent; the log applies it later or never.
            z3.And(
                before[at] == DaemonState.IDLE,
                _update(before, after, {at: DaemonState.SENT, in_flight: True}),
            ),
            self._append(before, after, in_flight, _CLAIMS[daemon]),
            # The append of the claim is refused.
            z3.And(
                before[in_flight],
                before[at] == DaemonState.GIVEN_UP,
                _update(before, after, {in_flight: False}),
            ),
            z3.And(
                before[at] == DaemonState.SENT,
                self.holds(before, daemon),
                _update(before, after, {at: DaemonState.WON}),
            ),
            z3.And(
                before[at] == DaemonState.SENT,
                _contains(before, _CLAIMS[daemon]),
                z3.Not(self.holds(before, daemon)),
                _update(before, after, {at: DaemonState.LOST}),
            ),
            z3.And(
                before[at] == DaemonState.WON,
                _update(
                    before,
                    after,
                    {at: DaemonState.CALLED, "calls": before["calls"] + 1},
                ),
            ),
            z3.And(
                z3.Or(
                    before[at] == DaemonState.SENT,
                    before[at] == DaemonState.WON,
                ),
                _update(
                    before,
                    after,
                    {
                        at: DaemonState.GIVEN_UP,
                        said_not_run: True,
                        releasing: True,
                    },
                ),
            ),
            self._append(before, after, releasing, _RELEASES[daemon]),
        ]
        return actions + self._list_bug_actions(before, after, daemon)

    def _list_bug_actions(
        self, before: dict[str, Any], after: dict[str, Any], daemon: int
    ) -> list[Any]:
        at = f"at{daemon}"
        call = {at: DaemonState.CALLED, "calls": before["calls"] + 1}
        match self._bug:
            case InjectedBug.CALL_WITHOUT_READING:
                condition = z3.And(
                    before[at] == DaemonState.SENT,
                    _contains(before, _CLAIMS[daemon]),
                )
                return [z3.And(condition, _update(before, after, call))]
            case InjectedBug.CALL_AFTER_GIVING_UP:
                condition = z3.And(
                    before[at] == DaemonState.GIVEN_UP,
                    self.holds(before, daemon),
                )
                return [z3.And(condition, _update(before, after, call))]
            case _:
                return []

    def _append(
        self,
        before: dict[str, Any],
        after: dict[str, Any],
        flag: str,
        record: int,
    ) -> Any:
        """Return the condition that a record in flight is appended."""
        cases = []
        for position in range(LOG_LENGTH):
            changes = {
                f"log{position}": record,
                "end": position + 1,
                flag: False,
            }
            cases.append(
                z3.And(
                    before["end"] == position, _update(before, after, changes)
                )
            )
        return z3.And(before[flag], z3.Or(cases))

    def holds(self, state: dict[str, Any], daemon: int) -> Any:
        """Return the condition that the log grants the key to the daemon."""
        holder: Any = z3.IntVal(-1)
        voided = [z3.BoolVal(False) for _ in DAEMONS]
        released = [z3.BoolVal(False) for _ in DAEMONS]
        for position in range(LOG_LENGTH):
            record = state[f"log{position}"]
            is_free = holder == -1
            for other in DAEMONS:
                is_claim = record == _CLAIMS[other]
                blocked = z3.Or(voided[other], released[other])
                is_granted = z3.And(is_claim, is_free, z3.Not(blocked))
                voided[other] = z3.Or(
                    voided[other], z3.And(is_claim, z3.Not(is_free))
                )
                holder = z3.If(is_granted, other, holder)
            holder, released = self._fold_release(
                state, record, holder, released, position
            )
        return holder == daemon

    def _fold_release(
        self,
        state: dict[str, Any],
        record: Any,
        holder: Any,
        released: list[Any],
        position: int,
    ) -> tuple[Any, list[Any]]:
        for other in DAEMONS:
            is_release = record == _RELEASES[other]
            released[other] = z3.Or(released[other], is_release)
            successor: Any = z3.IntVal(-1)
            if self._bug is InjectedBug.LOSER_TAKES_OVER:
                earlier = [
                    state[f"log{before}"] == _CLAIMS[1 - other]
                    for before in range(position)
                ]
                successor = z3.If(z3.Or([*earlier, False]), 1 - other, -1)
            holder = z3.If(
                z3.And(is_release, holder == other), successor, holder
            )
        return holder, released


def _contains(state: dict[str, Any], record: int) -> Any:
    return z3.Or(
        [state[f"log{position}"] == record for position in range(LOG_LENGTH)]
    )


def _update(
    before: dict[str, Any], after: dict[str, Any], changes: dict[str, Any]
) -> Any:
    """Return the condition that exactly `changes` are made."""
    return z3.And(
        [after[name] == changes.get(name, before[name]) for name in before]
    )
