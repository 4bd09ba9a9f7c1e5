"""Specify snapshots and truncation: a daemon's state never reverts.

Three changes to one object stand in the log, which forgets from the front. A
daemon folds records without a gap, or takes a snapshot if it can fold every
record after it. Snapshots may be published late by a daemon that is behind,
and a daemon may start anew with nothing. A state is right if its value is the
one that folding all records up to its offset gives.

The broken variants take an older snapshot over a newer state, fold over a
gap, and trust a snapshot's offset without its value.
"""

from __future__ import annotations

import enum
from typing import Any

import z3

__all__ = ["InjectedBug", "ConfigSpecification", "satisfies_invariant"]

RECORD_COUNT = 3
READERS = (0, 1)


class InjectedBug(enum.Enum):
    """A way in which the protocol may be broken."""

    NONE = "none"
    TAKE_OLDER_SNAPSHOT = "take an older snapshot"
    FOLD_OVER_GAP = "fold over a gap"
    PUBLISH_FALSE_OFFSET = "publish with a false offset"


class ConfigSpecification:
    """The fold with snapshots on a log that forgets.

    A value is a bit set of the records folded in, so that a record left out
    shows: after offset n the right value has the lowest n bits set.
    """

    def __init__(self, bug: InjectedBug = InjectedBug.NONE) -> None:
        self._bug = bug

    def make_state(self, step: int) -> dict[str, Any]:
        """Return the variables of a state."""
        state: dict[str, Any] = {
            "start": z3.Int(f"start_{step}"),
            "end": z3.Int(f"end_{step}"),
            "snap_offset": z3.Int(f"snap_offset_{step}"),
            "snap_value": z3.Int(f"snap_value_{step}"),
        }
        for reader in READERS:
            state[f"applied{reader}"] = z3.Int(f"applied{reader}_{step}")
            state[f"value{reader}"] = z3.Int(f"value{reader}_{step}")
            # The highest offset this process has had in force.
            state[f"highest{reader}"] = z3.Int(f"highest{reader}_{step}")
        return state

    def is_initial(self, state: dict[str, Any]) -> Any:
        """Return the condition on the first state."""
        zero = [name for name in state if name != "start"]
        return z3.And(state["start"] == 1, *[state[name] == 0 for name in zero])

    def is_transition(
        self, before: dict[str, Any], after: dict[str, Any]
    ) -> Any:
        """Return the condition on two states in a row."""
        actions = [_update(before, after, {})]
        actions.append(
            z3.And(
                before["end"] < RECORD_COUNT,
                _update(before, after, {"end": before["end"] + 1}),
            )
        )
        # The log forgets its oldest record.
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
        """Return: each value is right for its offset, and none went back."""
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
        # A process that starts anew has had nothing in force.
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
    """Return the inductive invariant."""
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
