"""Changed settings are applied; invalid ones leave the previous settings."""

from __future__ import annotations

import json
import pathlib
import tempfile

import msgspec
import trio

from martenquay_core.settings import gateway
from martenquay_daemon import settings_watch
from tests import clocked
from tests import serving_builders as builders


class SettingsWatchTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.jsonc"
        self.applied: list[gateway.GatewaySettings] = []

    def _write(self, **changes: object) -> None:
        content = builders.build_gateway_settings(**changes)
        self.path.write_text("// A comment.\n" + json.dumps(content))

    def _create_watch(self) -> settings_watch.SettingsWatch:
        self._write()
        settings = msgspec.convert(
            builders.build_gateway_settings(), gateway.GatewaySettings
        )
        return settings_watch.SettingsWatch(
            str(self.path), settings, self.applied.append
        )

    def test_reload_applies_a_change(self) -> None:
        watch = self._create_watch()
        self._write(zone="b")
        watch.reload()
        self.assertEqual("b", watch.settings.zone)
        self.assertEqual(["b"], [s.zone for s in self.applied])

    def test_polling_applies_a_change(self) -> None:
        async def scenario() -> None:
            watch = self._create_watch()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                await trio.sleep(5.0)
                self.assertEqual([], self.applied)
                self._write(zone="b")
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(1, len(self.applied))

        self.run_clocked(scenario)

    def test_a_change_since_the_settings_were_read_is_applied(self) -> None:
        async def scenario() -> None:
            settings = msgspec.convert(
                builders.build_gateway_settings(), gateway.GatewaySettings
            )
            # Written after the start read the settings.
            self._write(zone="b")
            watch = settings_watch.SettingsWatch(
                str(self.path), settings, self.applied.append
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(["b"], [s.zone for s in self.applied])

        self.run_clocked(scenario)

    def test_a_truncated_or_malformed_file_changes_nothing(self) -> None:
        # A signal may arrive while the file is being written; reading a partial
        # file must not end the daemon.
        watch = self._create_watch()
        self._write(zone="b")
        whole = self.path.read_bytes()
        invalid = [
            b"",
            b"[]",
            b"7",
            b"null",
            b"\xff\xfe",
            b'{"zone": {}}',
            b'{"zone": %s}' % (b"7" * 5000),
            b"[" * 100_000,
            b'{"\\ud800": 1}',
        ]
        for content in [whole[:n] for n in range(len(whole) - 1)] + invalid:
            self.path.write_bytes(content)
            watch.reload()
            self.assertEqual([], self.applied, content)
        self.path.unlink()
        watch.reload()
        self.path.write_bytes(whole)
        watch.reload()
        self.assertEqual(["b"], [s.zone for s in self.applied])

    def test_invalid_settings_change_nothing(self) -> None:
        watch = self._create_watch()
        self._write(zone="")
        watch.reload()
        self.path.write_text("{")
        watch.reload()
        self.path.unlink()
        watch.reload()
        self.assertEqual("a", watch.settings.zone)
        self.assertEqual([], self.applied)
