"""Model of snapshots and log truncation: configuration never rolls back.

A log holds up to three changes and is truncated from the front. A daemon
applies records without a gap, or loads a snapshot that is newer than its state.
A daemon that lags may publish an old snapshot, and a daemon may restart empty.
A state is correct if its value results from all records up to its offset.

Each injected bug must be found: loading an older snapshot, applying records
across a gap, publishing a snapshot with a wrong offset.
"""

from __future__ import annotations

import enum
from typing import Any

import z3

__all__ = ["InjectedBug", "ConfigSpecification", "satisfies_invariant"]

RECORD_COUNT = 3
READERS = (0, 1)


class InjectedBug(enum.Enum):
    """Protocol bugs that the checker must find."""

    NONE = "none"
    TAKE_OLDER_SNAPSHOT = "take an older snapshot"
    FOLD_OVER_GAP = "fold over a gap"
    PUBLISH_FALSE_OFFSET = "publish with a false offset"


class ConfigSpecification:
    """Transition system of two daemons, a truncated log and one snapshot.

    A value is the bit set of the applied records, which reveals a missing
    one: at offset n the correct value has the lowest n bits set.
    """

    def __init__(self, bug: InjectedBug = InjectedBug.NONE) -> None:
        self._bug = bug

    def make_state(self, step: int) -> dict[str, Any]:
        """Return new variables for the state after `step` transitions."""
        state: dict[str, Any] = {
            "start": z3.Int(f"start_{step}"),
            "end": z3.Int(f"end_{step}"),
            "snap_offset": z3.Int(f"snap_offset_{step}"),
            "snap_value": z3.Int(f"snap_value_{step}"),
        }
        for reader in READERS:
            state[f"applied{reader}"] = z3.Int(f"applied{reader}_{step}")
            state[f"value{reader}"] = z3.Int(f"value{reader}_{step}")
            # The highest offset that this process has applied.
            state[f"highest{reader}"] = z3.Int(f"highest{reader}_{step}")
        return state

    def is_initial(self, state: dict[str, Any]) -> Any:
        """Return the condition of an empty log and empty daemons."""
        zero = [name for name in state if name != "start"]
        return z3.And(state["start"] == 1, *[state[name] == 0 for name in zero])

    def is_transition(
        self, before: dict[str, Any], after: dict[str, Any]
    ) -> Any:
        """Return the condition that the log or a daemon acts, or nothing."""
        actions = [_update(before, after, {})]
        actions.append(
            z3.And(
                before["end"] < RECORD_COUNT,
                _update(before, after, {"end": before["end"] + 1}),
            )
        )
        # The log is truncated by its oldest record.
        actions.append(
            z3.And(
                before["start"] <= before["end"],
                _update(before, after, {"start": before["start"] + 1}),
            )
        )
        for reader in READERS:
            actions += self._list_actions(before, after, reader)
        return z3.Or(actions)

    def is_safe(self, state: dict[str, Any]) -> Any:
        """Return the condition that values are correct and never roll back."""
        conditions = []
        for reader in READERS:
            applied = state[f"applied{reader}"]
            conditions.append(
                state[f"value{reader}"] == _expected_value(applied)
            )
            conditions.append(applied >= state[f"highest{reader}"])
        return z3.And(conditions)

    def _list_actions(
        self, before: dict[str, Any], after: dict[str, Any], reader: int
    ) -> list[Any]:
        applied, value = f"applied{reader}", f"value{reader}"
        highest = f"highest{reader}"
        next_offset = before[applied] + 1
        folded = {
            applied: next_offset,
            value: before[value] + _record_bit(next_offset),
            highest: _maximum(before[highest], next_offset),
        }
        no_gap = before["start"] <= next_offset
        fold = z3.And(
            next_offset <= before["end"], no_gap, _update(before, after, folded)
        )
        snapshot_state = {
            applied: before["snap_offset"],
            value: before["snap_value"],
            highest: _maximum(before[highest], before["snap_offset"]),
        }
        newer = before["snap_offset"] > before[applied]
        take_snapshot = z3.And(newer, _update(before, after, snapshot_state))
        publish = _update(
            before,
            after,
            {"snap_offset": before[applied], "snap_value": before[value]},
        )
        # A new process has applied nothing, so its highest offset is 0 too.
        restart = _update(before, after, {applied: 0, value: 0, highest: 0})
        broken = self._list_bug_actions(before, after, reader, snapshot_state)
        return [fold, take_snapshot, publish, restart, *broken]

    def _list_bug_actions(
        self,
        before: dict[str, Any],
        after: dict[str, Any],
        reader: int,
        snapshot_state: dict[str, Any],
    ) -> list[Any]:
        applied, value = f"applied{reader}", f"value{reader}"
        match self._bug:
            case InjectedBug.TAKE_OLDER_SNAPSHOT:
                return [_update(before, after, snapshot_state)]
            case InjectedBug.FOLD_OVER_GAP:
                offset_after_gap = _maximum(
                    before["start"], before[applied] + 1
                )
                folded = {
                    applied: offset_after_gap,
                    value: before[value] + _record_bit(offset_after_gap),
                }
                return [
                    z3.And(
                        offset_after_gap <= before["end"],
                        _update(before, after, folded),
                    )
                ]
            case InjectedBug.PUBLISH_FALSE_OFFSET:
                published = {
                    "snap_offset": before["end"],
                    "snap_value": before[value],
                }
                return [_update(before, after, published)]
            case _:
                return []


def satisfies_invariant(state: dict[str, Any]) -> Any:
    """Return the inductive invariant of the specification."""
    conditions = [
        state["start"] >= 1,
        state["end"] >= 0,
        state["end"] <= RECORD_COUNT,
        state["snap_offset"] >= 0,
        state["snap_offset"] <= state["end"],
        state["snap_value"] == _expected_value(state["snap_offset"]),
    ]
    for reader in READERS:
        applied = state[f"applied{reader}"]
        conditions += [
            applied >= 0,
            applied <= state["end"],
            state[f"value{reader}"] == _expected_value(applied),
            state[f"highest{reader}"] <= applied,
        ]
    return z3.And(conditions)


def _expected_value(offset: Any) -> Any:
    value: Any = z3.IntVal(0)
    for number in range(1, RECORD_COUNT + 1):
        value = z3.If(offset == number, 2**number - 1, value)
    return value


def _record_bit(offset: Any) -> Any:
    value: Any = z3.IntVal(0)
    for number in range(1, RECORD_COUNT + 1):
        value = z3.If(offset == number, 2 ** (number - 1), value)
    return value


def _maximum(first: Any, second: Any) -> Any:
    return z3.If(first > second, first, second)


def _update(
    before: dict[str, Any], after: dict[str, Any], changes: dict[str, Any]
) -> Any:
    return z3.And(
        [after[name] == changes.get(name, before[name]) for name in before]
    )
