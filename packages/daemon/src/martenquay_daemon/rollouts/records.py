"""Encode and decode rollout steps, and register records read from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from martenquay_core import logs
from martenquay_core.util import decoding
from martenquay_daemon.rollouts import registry

if TYPE_CHECKING:
    from martenquay_core.serving import ports

__all__ = ["OrderSink", "StepSink", "encode_step"]

_LOG = logs.create_log("rollouts")
# Records of other parts in the same topic; no service's name begins so.
_FOREIGN_KEY_PREFIX = "."


class _StepRecord(msgspec.Struct, frozen=True):
    order: int
    version: str
    phase: str
    started_ms: int
    refused: tuple[str, ...] = ()
    why: str = ""


def encode_step(log: ports.LogPort, step: registry.Step) -> bytes:
    """Return the payload of a step's record."""
    record = _StepRecord(
        step.order,
        step.version,
        step.phase.value,
        step.started_ms,
        step.refused,
        step.why,
    )
    return log.join_keyed(step.service, msgspec.json.encode(record))


class StepSink:
    """A `keyed_follower.RecordSink` that registers steps."""

    def __init__(self, rollouts: registry.RolloutRegistry) -> None:
        self._registry = rollouts

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Register each service's newest step; missing ones stay."""
        for record in snapshot.records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Register one step; records of other parts are ignored."""
        if record.value is None or record.key.startswith(_FOREIGN_KEY_PREFIX):
            return
        try:
            found = decoding.decode_json(record.value, _StepRecord)
            phase = registry.Phase(found.phase)
        except ValueError as error:
            _LOG.write(
                f"Skipped a rollout step of {record.key}, which cannot be "
                f"decoded: {error}."
            )
            return
        self._registry.apply_step(
            registry.Step(
                record.key,
                found.order,
                found.version,
                phase,
                found.started_ms,
                found.refused,
                found.why,
            )
        )


class OrderSink:
    """A `keyed_follower.RecordSink` that registers operators' orders."""

    def __init__(
        self, codec: ports.PlatformCodec, rollouts: registry.RolloutRegistry
    ) -> None:
        self._codec = codec
        self._registry = rollouts

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Register the newest orders; missing ones stay."""
        for record in snapshot.records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Register the record if it is a rollout order."""
        if record.value is None:
            return
        try:
            order = self._codec.decode_rollout(record.key, record.value)
        except ValueError as error:
            _LOG.write(
                f"Skipped rollout order {record.key}, which cannot be "
                f"decoded: {error}."
            )
            return
        if order is not None:
            self._registry.apply_order(record.offset, order)
