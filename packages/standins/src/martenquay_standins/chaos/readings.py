"""Read the configuration that daemons show, at the end all at one point."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Protocol

import trio

from martenquay_standins.chaos import history

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping, Sequence

    from martenquay_core.platform import log
    from martenquay_core.util import http
    from martenquay_standins import running

__all__ = ["ConfigReader", "SettlingLog", "read_finals"]

_POLL_S = 0.05
_STREAM = "config"


class SettlingLog(Protocol):
    """The part of the log's stand-in that is needed here."""

    async def wait_settled(self) -> None:
        """Return once no append that was answered is to take effect."""

    def list_records(self, name: str) -> Sequence[log.LogRecord]:
        """Return the records of a stream."""


class ConfigReader:
    """Ask daemons what they have in force."""

    def __init__(
        self,
        ask: Callable[
            [str, str, running.DaemonProcess], Awaitable[http.Answer | None]
        ],
    ) -> None:
        self._ask = ask

    async def read(
        self, partner: str, daemon: running.DaemonProcess
    ) -> list[history.Observation]:
        """Return what a daemon shows of the teams; nothing if it fails."""
        answer = await self._ask(partner, "show teams counter", daemon)
        if answer is None or answer.status != 200:
            return []
        return [
            history.Observation(
                daemon.member,
                row["partner"],
                row["version"],
                row.get("weight", 1.0),
                is_final=False,
            )
            for row in json.loads(answer.body)["rows"]
        ]

    async def wait_applied(
        self, partner: str, daemon: running.DaemonProcess, end: int
    ) -> None:
        """Return once a daemon has applied the log up to an offset."""
        while True:
            answer = await self._ask(partner, "show config", daemon)
            rows = json.loads(answer.body)["rows"] if answer else []
            own = [row for row in rows if row["name"] == daemon.member]
            if own and all(row["applied"] >= end for row in own):
                return
            await trio.sleep(_POLL_S)


async def read_finals(
    reader: ConfigReader,
    log: SettlingLog,
    daemons: Mapping[str, Sequence[running.DaemonProcess]],
) -> list[history.Observation]:
    """Return what all daemons show, the last of it at one end of the log.

    Commands whose callers have gone go on in daemons, and a change that takes
    effect between two readings would make daemons differ that were only read
    at different times. So all are read again after such a change.

    Args:
        reader: Asks the daemons.
        log: Where changes are written.
        daemons: By partner.
    """
    observations: list[history.Observation] = []
    while True:
        await log.wait_settled()
        end = log.list_records(_STREAM)[-1].offset
        last_observations: list[history.Observation] = []
        for partner, members in daemons.items():
            for daemon in members:
                await reader.wait_applied(partner, daemon, end)
                last_observations += await reader.read(partner, daemon)
        observations += last_observations
        if log.list_records(_STREAM)[-1].offset == end:
            break
    return observations + [
        dataclasses.replace(observation, is_final=True)
        for observation in last_observations
    ]
