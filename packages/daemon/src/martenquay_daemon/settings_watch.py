"""Notice that the settings file has changed, by signal or without."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.settings import gateway, reader

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SettingsWatch"]

# Not "gateway", whose lines are not bounded in rate: a storm of signals reads
# the settings as often.
_LOG = logs.create_log("settings")
# A change without a signal is found within this time.
_POLL_INTERVAL_S = 2.0


class SettingsWatch:
    """Read the file again when it has changed.

    Attributes:
        settings: The last good settings.
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
        """Look again and again until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            content = self._read_bytes()
            if content != self._last_content:
                self._last_content = content
                self.reload()

    def reload(self) -> None:
        """Read the file; with problems the last good settings stay."""
        try:
            self._reload()
        except Exception as error:  # noqa: BLE001
            # Some contents make the readers raise what they do not name, such
            # as a number of 5,000 digits; none may end the daemon.
            _LOG.write(f"Kept the settings: {error!r}.")

    def _reload(self) -> None:
        result = reader.read_settings(str(self._path), gateway.GatewaySettings)
        if result.is_error():
            for problem in result.error:
                text = reader.describe_problem(problem)
                _LOG.write(f"Kept the settings: {text}.")
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
        _LOG.write("Took the settings that have changed.", changed=changed)

    def _read_bytes(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError as error:
            _LOG.write(f"The settings cannot be read: {error}.")
            return b""
