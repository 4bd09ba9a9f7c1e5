"""Keep what teams have spent in the log, for the day all daemons restart.

A daemon that starts among others learns from them. When all start at once,
nobody knows what was spent a moment ago, and without this record each would
have to take every allowance as used up.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import trio
from expression import Result

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports
    from martenquay_daemon.allowances import ledger
    from martenquay_daemon.duties import lease

__all__ = ["SpendingRecord"]

_LOG = logs.create_log("allowances")
_KEY = "spending"
# Between two records; what is spent after the last one is assumed.
_PERIOD_S = 1.0
# Time of day may differ between instances or jump; an age beyond this is
# taken for this, one below 0 for 0.
_LONGEST_AGE_S = 60.0
_RETRY_S = 0.3
_TRIES = 5


class _Sums(msgspec.Struct, frozen=True):
    at: float
    used: dict[str, float]


class SpendingRecord:
    """Write the sums as the lease's holder, or next one; read them once.

    Attributes:
        first_read: Set once they are read, or cannot be.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        accounts: ledger.AllowanceLedger,
        duty: lease.Lease,
        read_clock: Callable[[], float] = time.time,
    ) -> None:
        self.first_read = trio.Event()
        self._log = log
        self._topic = topic
        self._ledger = accounts
        self._lease = duty
        self._read_clock = read_clock

    async def run(self) -> None:
        """Read at the start, then write until cancelled."""
        await self._read()
        self.first_read.set()
        while True:
            await trio.sleep(_PERIOD_S)
            used = self._ledger.list_used()
            # After a common restart the old lease has to be waited out, and
            # all may be killed again before that.
            if self._lease.is_held() or self._lease.is_next():
                await self._write(used)

    async def _write(self, used: dict[str, float]) -> None:
        value = msgspec.json.encode(_Sums(self._read_clock(), used))
        payload = self._log.join_keyed(_KEY, value)
        written = await self._log.append(self._topic, [payload])
        if written.is_error():
            _LOG.write(f"Sums are not written: {written.error.message}.")

    async def _read(self) -> None:
        for _ in range(_TRIES):
            newest = await self._log.read_newest(self._topic)
            match newest:
                case Result(tag="ok", ok=found):
                    self._adopt(found)
                    return
                case _:
                    _LOG.write(f"Sums are not read: {newest.error.message}.")
                    await trio.sleep(_RETRY_S)

    def _adopt(self, found: ports.Snapshot) -> None:
        for record in found.records:
            if record.key != _KEY or record.value is None:
                continue
            try:
                sums = msgspec.json.decode(record.value, type=_Sums)
            except msgspec.MsgspecError as error:
                _LOG.write(f"Sums are malformed: {error}.")
                return
            age_s = self._read_clock() - sums.at
            age_s = min(max(age_s, 0.0), _LONGEST_AGE_S)
            self._ledger.note_past(sums.used, age_s, _PERIOD_S)
            _LOG.write("Sums are read.", age_s=round(age_s, 3))
