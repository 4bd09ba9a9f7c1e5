"""Tests of the command line: statements, exit codes, settings checks."""

from __future__ import annotations

import json
import os
import sys

import trio

from martenquay_standins import partners
from tests import scenarios


class ClientTest(scenarios.ScenarioTestCase):
    async def _run_client(
        self, *arguments: str, credential: str = "serrana-operator"
    ):
        process = await trio.run_process(
            [sys.executable, "-m", "martenquay_client", *arguments],
            env=os.environ | {"MARTENQUAY_CREDENTIAL": credential},
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        return (
            process.returncode,
            process.stdout.decode(),
            process.stderr.decode(),
        )

    def test_queries_and_commands_go_to_a_daemon(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await scene.world.add_engine(partners.SERRANA, "serra-a", "model-1")
            daemon = (await scene.start_daemons(partners.SERRANA, 1))[0]
            flag = f"--daemon={daemon.addresses.operators}"
            code, out, _ = await self._run_client(flag, "show", "runners")
            self.assertEqual(0, code)
            self.assertIn("model-1", out)
            code, out, _ = await self._run_client(
                flag, "--json", "set", "team", "counter", "weight=2"
            )
            self.assertEqual(0, code)
            self.assertEqual("team serrana/counter", json.loads(out)["key"])

        self.run_scene(scenario)

    def test_failures_have_their_exit_codes_and_numbers(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemon = (await scene.start_daemons(partners.SERRANA, 1))[0]
            flag = f"--daemon={daemon.addresses.operators}"
            cases = [
                (("shwo runners",), 2, "5001"),
                (("drop team lindqvist/counter",), 3, "5003"),
                (("drop team counter if version 99",), 6, "5002"),
                (("show routes nowhere",), 2, "5007"),
            ]
            for arguments, expected, number in cases:
                code, _, err = await self._run_client(flag, *arguments)
                self.assertEqual((expected, True), (code, number in err), err)
            code, _, err = await self._run_client(
                flag, "show daemons", credential=""
            )
            self.assertEqual(3, code, err)
            code, _, err = await self._run_client(
                "--daemon=127.0.0.1:1", "show daemons"
            )
            self.assertIn("7003", err)

        self.run_scene(scenario)

    def test_settings_are_checked_without_a_daemon(self):
        async def scenario(scene: scenarios.Scene) -> None:
            code, out, _ = await self._run_client(
                "check-settings", "examples/serrana-bureau.jsonc"
            )
            self.assertEqual((0, True), (code, "good" in out))
            code, _, err = await self._run_client("check-settings", "README.md")
            self.assertEqual((7, True), (code, "6002" in err), err)

        self.run_scene(scenario)
