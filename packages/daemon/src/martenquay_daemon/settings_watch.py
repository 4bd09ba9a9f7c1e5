"""Reload the settings file on a signal or when polling finds a change."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.settings import gateway, reader

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SettingsWatch"]

# Not "gateway", whose lines are exempt from the log's rate limit: each signal
# of a series writes a line here.
_LOG = logs.create_log("settings")
_POLL_INTERVAL_S = 2.0


class SettingsWatch:
    """Reloads the settings when their file changes.

    Attributes:
        settings: Last valid settings.
    """

    def __init__(
        self,
        path: str,
        settings: gateway.GatewaySettings,
        apply: Callable[[gateway.GatewaySettings], None],
    ) -> None:
        self.settings = settings
        self._path = pathlib.Path(path)
        self._apply = apply
        self._last_content = self._read_bytes()

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            content = self._read_bytes()
            if content != self._last_content:
                self._last_content = content
                self.reload()

    def reload(self) -> None:
        """Read the file; keep the previous settings if it is invalid."""
        try:
            self._reload()
        except Exception as error:  # noqa: BLE001
            # Some invalid files, such as one with a number of 5,000 digits,
            # raise undocumented exceptions, which would end the daemon.
            _LOG.write(
                f"Kept the previous settings; reading failed: {error!r}."
            )

    def _reload(self) -> None:
        result = reader.read_settings(str(self._path), gateway.GatewaySettings)
        if result.is_error():
            for problem in result.error:
                text = reader.describe_problem(problem)
                _LOG.write(
                    f"Kept the previous settings; the file is invalid: {text}."
                )
            return
        if result.ok == self.settings:
            _LOG.write("Read the settings; nothing has changed.")
            return
        changed = [
            name
            for name in type(result.ok).__struct_fields__
            if getattr(result.ok, name) != getattr(self.settings, name)
        ]
        self.settings = result.ok
        self._apply(result.ok)
        _LOG.write("Applied the changed settings.", changed=changed)

    def _read_bytes(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError as error:
            _LOG.write(f"Cannot read the settings file: {error}.")
            return b""
