"""Readings of the configuration in force at daemons."""

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
    """The part of `LogStandIn` that `read_finals` needs."""

    async def wait_settled(self) -> None:
        """Wait until all delayed appends have been applied."""

    def list_records(self, name: str) -> Sequence[log.LogRecord]:
        """Return the records that a stream retains."""


class ConfigReader:
    """Queries the configuration in force at daemons."""

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
        """Return the teams' weights at a daemon; nothing if the query fails."""
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
        """Wait until a daemon has applied the log up to an offset."""
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
    """Return readings of all daemons, the final ones at one end of the log.

    A daemon may still append the change of a caller that has disconnected.
    All daemons are then read again; else those read before the change would
    seem to differ from those read after it.

    Args:
        reader: Queries the daemons.
        log: The log of configuration changes.
        daemons: The daemons by partner.
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
