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
        # None until the first poll: the file may have changed since
        # `settings` was read from it.
        self._last_content: bytes | None = None

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            content = self._read_bytes()
            if content != self._last_content:
                is_first = self._last_content is None
                self._last_content = content
                self._try_reload(reports_unchanged=not is_first)

    def reload(self) -> None:
        """Read the file; keep the previous settings if it is invalid."""
        self._try_reload(reports_unchanged=True)

    def _try_reload(self, *, reports_unchanged: bool) -> None:
        try:
            self._reload(reports_unchanged=reports_unchanged)
        except Exception as error:  # noqa: BLE001
            # Some invalid files, such as one with a number of 5,000 digits,
            # raise undocumented exceptions, which would end the daemon.
            _LOG.write(
                f"Kept the previous settings; reading failed: {error!r}."
            )

    def _reload(self, *, reports_unchanged: bool) -> None:
        result = reader.read_settings(str(self._path), gateway.GatewaySettings)
        if result.is_error():
            for problem in result.error:
                text = reader.describe_problem(problem)
                _LOG.write(
                    f"Kept the previous settings; the file is invalid: {text}."
                )
            return
        if result.ok == self.settings:
            if reports_unchanged:
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
