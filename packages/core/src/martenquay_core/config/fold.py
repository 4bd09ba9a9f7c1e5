"""Apply change records in log order to the configuration in force.

The result depends on the records alone, so all daemons reach the same verdict
on each record. Of concurrent changes the first in the log wins.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
from typing import TYPE_CHECKING, Any

import msgspec

from martenquay_core.config import objects, records

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "REMEMBERED_CHANGES",
    "ConfigState",
    "Judgement",
    "PartnerState",
    "StoredObject",
    "Verdict",
    "apply_record",
    "create_state",
    "digest_partner",
]

# Per partner; a change repeated with an id older than these is judged anew. Two
# days of the 1,100 changes a day that are expected.
REMEMBERED_CHANGES = 2048


class Verdict(enum.StrEnum):
    """Verdict on a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"
    INVALID = "invalid"


class Judgement(msgspec.Struct, frozen=True, array_like=True):
    """Verdict on one change, with its reason.

    Attributes:
        verdict: Verdict.
        offset: Offset of the change in the log.
        reason: Reason if the change was not accepted.
    """

    verdict: Verdict
    offset: int
    reason: str = ""


class StoredObject(msgspec.Struct, frozen=True, array_like=True):
    """An object in force, as stored.

    Attributes:
        version: Offset of the last change to the object.
        operator: Operator who made that change.
        fields: Fields as given in that change, without defaults.
    """

    version: int
    operator: str
    fields: dict[str, Any]


@dataclasses.dataclass
class PartnerState:
    """Configuration of one partner.

    Attributes:
        partner: Name of the partner.
        applied: Highest offset applied; only grows.
        stored: Objects by kind and name.
        judged: Latest verdicts by change id, oldest first.
    """

    partner: str
    applied: int = 0
    stored: dict[tuple[objects.Kind, str], StoredObject] = dataclasses.field(
        default_factory=dict
    )
    judged: collections.OrderedDict[str, Judgement] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def version_of(self, key: objects.ObjectKey) -> int:
        """Return the version of an object, 0 if it does not exist."""
        stored = self.stored.get((key.kind, key.name))
        return stored.version if stored else 0


@dataclasses.dataclass
class ConfigState:
    """Configuration in force of all partners.

    Attributes:
        partners: State of each partner by name.
    """

    partners: dict[str, PartnerState]

    @property
    def applied(self) -> int:
        """Return the offset up to which all partners' states are applied."""
        return min(state.applied for state in self.partners.values())

    def find(self, key: objects.ObjectKey) -> StoredObject | None:
        """Return an object as it is stored, or None."""
        state = self.partners.get(key.partner)
        return state.stored.get((key.kind, key.name)) if state else None

    def get(self, key: objects.ObjectKey) -> objects.ConfigObject | None:
        """Return an object as its typed class, or None."""
        stored = self.find(key)
        if stored is None:
            return None
        return objects.check_object(key.kind, stored.fields).default_value(None)

    def iterate(
        self, kind: objects.Kind
    ) -> Iterator[tuple[objects.ObjectKey, StoredObject]]:
        """Yield all objects of a kind with their keys."""
        for partner, state in self.partners.items():
            for (stored_kind, name), stored in state.stored.items():
                if stored_kind == kind:
                    yield objects.ObjectKey(partner, kind, name), stored


def create_state(partners: list[str]) -> ConfigState:
    """Return the state before the first record."""
    return ConfigState({name: PartnerState(name) for name in partners})


def apply_record(
    state: ConfigState, offset: int, raw: bytes, verifier: records.Verifier
) -> Judgement | None:
    """Apply one record to the state.

    Offsets count from 1. A record at or below a partner's applied offset does
    not change that partner's state, so replaying records is safe.

    Returns:
        The verdict; None for a record that was applied already or has no
        valid signature.
    """
    change = records.decode_change(raw, verifier)
    owner = state.partners.get(change.partner) if change else None
    judgement = None
    if change and owner and offset > owner.applied:
        judgement = _judge_once(owner, offset, change)
    for partner in state.partners.values():
        partner.applied = max(partner.applied, offset)
    return judgement


def digest_partner(state: PartnerState) -> str:
    """Return a digest to compare a partner's state between daemons."""
    content = (
        sorted(
            (kind, name, _as_list(stored))
            for (kind, name), stored in state.stored.items()
        ),
        list(state.judged.items()),
    )
    return hashlib.sha256(msgspec.msgpack.encode(content)).hexdigest()


def _judge_once(
    owner: PartnerState, offset: int, change: records.Change
) -> Judgement:
    earlier = owner.judged.get(change.change_id)
    if earlier is not None:
        return earlier
    judgement = _judge(owner, offset, change)
    owner.judged[change.change_id] = judgement
    if len(owner.judged) > REMEMBERED_CHANGES:
        owner.judged.popitem(last=False)
    if judgement.verdict is Verdict.ACCEPTED:
        _store(owner, offset, change)
    return judgement


def _judge(
    owner: PartnerState, offset: int, change: records.Change
) -> Judgement:
    if change.key_partner != change.partner:
        reason = f"{change.key} belongs to {change.key_partner}"
        return Judgement(Verdict.FORBIDDEN, offset, reason)
    current = owner.version_of(change.key)
    if current != change.base_version:
        reason = f"{change.key} is at version {current}"
        return Judgement(Verdict.CONFLICT, offset, reason)
    if change.fields is None:
        return Judgement(Verdict.ACCEPTED, offset)
    checked = objects.check_object(change.kind, change.fields)
    if checked.is_error():
        return Judgement(Verdict.INVALID, offset, checked.error)
    return Judgement(Verdict.ACCEPTED, offset)


def _store(owner: PartnerState, offset: int, change: records.Change) -> None:
    object_id = (change.kind, change.name)
    if change.fields is None:
        owner.stored.pop(object_id, None)
        return
    owner.stored[object_id] = StoredObject(
        offset, change.operator, change.fields
    )


def _as_list(stored: StoredObject) -> list[Any]:
    return [stored.version, stored.operator, sorted(stored.fields.items())]
