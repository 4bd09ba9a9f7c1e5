"""Disable one mechanism at a time and report which tests fail.

Each mutation is applied to a copy of the repository. If no test fails, the
tests don't cover the mechanism.
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from concurrent import futures

from absl import app, flags

from bench import figures, mutation, platform_mutations

_WORKERS = flags.DEFINE_integer("workers", 4, "Mutations at once.")
_FAMILY = flags.DEFINE_enum(
    "family",
    "all",
    ["all", "own", "platform"],
    "Mechanisms of the own interface, of the platform's path, or both.",
)
_ONLY = flags.DEFINE_string("only", "", "Only mutations with this in the name.")
_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PROMISES = "tests.test_promises"
_TEST_TIMEOUT_S = 300
# Scenarios that hang without the mechanism fail before the test run times out.
_HANG_TIMEOUT_CHANGE = (
    "tests/scenarios.py",
    "_HANG_S = 120.0",
    "_HANG_S = 30.0",
)


_MUTATIONS = (
    mutation.Mutation(
        "claim won without reading it back",
        f"{mutation.DAEMON}/claims/shard.py",
        "        return await self._find_settlement(claim) or "
        "_create_log_down_reply()\n",
        "        return messages.SettleReply(\n"
        "            settlement=messages.Settlement.WON)\n",
        f"{_PROMISES}.test_at_most_once.ConcurrentKeyTest",
    ),
    mutation.Mutation(
        "an append without an answer counts as won",
        f"{mutation.DAEMON}/claims/shard.py",
        "messages.SettleReply(settlement=messages.Settlement.LOG_DOWN)",
        "messages.SettleReply(settlement=messages.Settlement.WON)",
        f"{_PROMISES}.test_at_most_once.LogOutageTest",
    ),
    mutation.Mutation(
        "a lost answer is asked for again",
        f"{mutation.DAEMON}/dispatch/service.py",
        "            if answer.error.sent:\n"
        "                return Error("
        "_create_answer_lost_failure(call, runner))\n",
        "",
        f"{_PROMISES}.test_at_most_once.LostAnswerTest",
    ),
    mutation.Mutation(
        "a dead holder's key is told as not run",
        f"{mutation.DAEMON}/dispatch/service.py",
        "code = results.ResultCode.UNKNOWN_HOLDER_LOST",
        "code = results.ResultCode.NOT_RUN_NO_RUNNER",
        f"{_PROMISES}.test_at_most_once.LostHolderTest",
    ),
    mutation.Mutation(
        "no release after giving up",
        f"{mutation.DAEMON}/dispatch/service.py",
        "        self._claims.report(records.Release(claim.key, "
        "claim.attempt))\n",
        "        del claim\n",
        f"{_PROMISES}.test_at_most_once.LogOutageTest",
    ),
    mutation.Mutation(
        "an old booking that cannot be read is told as not run",
        f"{mutation.DAEMON}/claims/shard.py",
        "return messages.SettleReply(settlement=messages.Settlement.DONE)",
        "return _create_log_down_reply()",
        "tests.test_daemon.test_claims.OldOutcomeTest",
    ),
    mutation.Mutation(
        "tokens passed on as they come",
        f"{mutation.DAEMON}/dispatch/token_sequencer.py",
        "        ready: list[str] = []\n",
        "        return [event.text]\n        ready: list[str] = []\n",
        f"{_PROMISES}.test_whole_answers.StreamTest",
    ),
    mutation.Mutation(
        "events of other requests and attempts let through",
        f"{mutation.DAEMON}/dispatch/token_sequencer.py",
        "        return matches\n",
        "        return True\n",
        f"{_PROMISES}.test_whole_answers.StreamTest",
    ),
    mutation.Mutation(
        "streams stay on a leaving runner",
        f"{mutation.DAEMON}/parts.py",
        "        self.runners.listen_for_leaving(self._models.move_streams)\n",
        "",
        f"{_PROMISES}.test_whole_answers.StreamTest",
    ),
    mutation.Mutation(
        "leaving runners still get work",
        f"{mutation.DAEMON}/membership/table.py",
        "        return _runner_key(runner) in self._entries\n",
        "        return False\n",
        f"{_PROMISES}.test_leaving.LeavingRunnerTest",
    ),
    mutation.Mutation(
        "a notice is not passed on to peers",
        f"{mutation.DAEMON}/membership/links.py",
        "        for update in message.updates:\n"
        "            self._members.merge(update)\n"
        "        self._members.note",
        "        self._members.note",
        f"{_PROMISES}.test_leaving.LeavingRunnerTest",
    ),
    mutation.Mutation(
        "a stop does not wait for what is in progress",
        f"{mutation.DAEMON}/daemon.py",
        "            while self._count_unfinished(parts):\n"
        "                await trio.sleep(_DRAIN_POLL_S)\n",
        "            pass\n",
        f"{_PROMISES}.test_leaving.PlannedStopTest",
    ),
    mutation.Mutation(
        "an older snapshot is taken",
        f"{mutation.DAEMON}/configuration/store.py",
        "current is None or newer.applied <= current.applied",
        "current is None",
        "tests.test_proofs.test_configuration.StoreTest",
    ),
    mutation.Mutation(
        "versions are not compared",
        f"{mutation.CORE}/config/fold.py",
        "    if current != change.base_version:\n",
        "    if current < 0:\n",
        f"{_PROMISES}.test_configuration.RaceTest",
    ),
    mutation.Mutation(
        "signatures are not checked",
        f"{mutation.CORE}/config/records.py",
        "            self.keys[payload.partner].verify("
        "payload.signature, payload.body)\n",
        "            pass\n",
        "tests.test_core.test_fold.FoldTest",
    ),
    mutation.Mutation(
        "owners are not compared",
        f"{mutation.CORE}/config/fold.py",
        "    if change.key_partner != change.partner:\n",
        "    if change.key_partner == '':\n",
        "tests.test_core.test_fold.FoldTest",
    ),
    mutation.Mutation(
        "no configuration from peers",
        f"{mutation.DAEMON}/configuration/follower.py",
        "        for member in peers:\n",
        "        for member in []:\n",
        f"{_PROMISES}.test_configuration",
    ),
    mutation.Mutation(
        "work does not wait for its configuration",
        f"{mutation.DAEMON}/deferrable/worker.py",
        "        await self._config_applied.wait_for(request.config_offset)\n",
        "",
        f"{_PROMISES}.test_deferrable",
    ),
    mutation.Mutation(
        "open work is not carried forward",
        f"{mutation.DAEMON}/deferrable/worker.py",
        "                self._renew_old_records(nursery)\n",
        "",
        f"{_PROMISES}.test_deferrable",
    ),
    mutation.Mutation(
        "each answer replaces the one before",
        f"{mutation.DAEMON}/deferrable/table.py",
        "        if self._answers.find(completed.ticket) is not None:\n"
        "            return\n",
        "",
        "tests.test_daemon.test_work_table",
    ),
)


def main(argv: list[str]) -> int:
    """Run the selected mutations; return 1 if the tests miss one."""
    del argv
    mutations_by_family = {
        "own": _MUTATIONS,
        "platform": platform_mutations.PLATFORM_MUTATIONS,
        "all": (*_MUTATIONS, *platform_mutations.PLATFORM_MUTATIONS),
    }
    available = mutations_by_family[_FAMILY.value]
    selected = [m for m in available if _ONLY.value in m.name]
    with futures.ThreadPoolExecutor(_WORKERS.value) as pool:
        results = list(pool.map(_run_tests, selected))
    rows = [
        [mutated.name, "noticed" if detected else "NOT NOTICED", detail]
        for mutated, (detected, detail) in zip(selected, results, strict=True)
    ]
    figures.print_table(["taken out", "by the tests", "failed"], rows)
    return 0 if all(detected for detected, _ in results) else 1


def _run_tests(mutated: mutation.Mutation) -> tuple[bool, str]:
    """Return whether the tests detect the mutation, and a detail to print."""
    with tempfile.TemporaryDirectory() as temporary:
        copy = pathlib.Path(temporary) / "copy"
        ignored = shutil.ignore_patterns(
            ".git", ".venv", "__pycache__", "target", "journal"
        )
        shutil.copytree(_ROOT, copy, ignore=ignored)
        _replace(copy, mutated.file, mutated.old, mutated.new)
        _replace(copy, *_HANG_TIMEOUT_CHANGE)
        try:
            completed = subprocess.run(
                [sys.executable, "-m", "testtools.run", mutated.tests],
                cwd=copy,
                env=_build_environment(copy),
                check=False,
                capture_output=True,
                text=True,
                timeout=_TEST_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return True, "did not end"
    failed = [
        line.split(".")[-1]
        for line in completed.stdout.splitlines()
        if line.startswith(("FAIL: ", "ERROR: "))
    ]
    ran = "Ran " in completed.stdout and "Ran 0" not in completed.stdout
    detail = failed[0].replace("_", " ") if failed else ""
    suffix = f" (+{len(failed) - 1})" if len(failed) > 1 else ""
    return ran and completed.returncode != 0, detail + suffix


def _replace(copy: pathlib.Path, file: str, old: str, new: str) -> None:
    source_path = copy / file
    text = source_path.read_text()
    if old not in text:
        raise ValueError(
            f"{file} does not contain the text to replace: {old!r}"
        )
    source_path.write_text(text.replace(old, new))


def _build_environment(copy: pathlib.Path) -> dict[str, str]:
    sources = [str(path) for path in copy.glob("packages/*/src")]
    sources.append(str(copy / "platform" / "src"))
    path = os.pathsep.join([*sources, str(copy)])
    return os.environ | {"PYTHONPATH": path}


if __name__ == "__main__":
    app.run(main)
