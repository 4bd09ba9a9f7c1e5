"""Measure how long an accepted change takes to be in force everywhere.

Twelve daemon processes in six zones. The times are read from the daemons' own
log lines: from the first daemon that has a change in force, which is the one
that accepts it, to the last. Cases: quiet, under callers' load, and with one
zone cut from the platform but not from its peers.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
from typing import Any

import trio
from absl import app, flags

from bench import figures
from martenquay_core.util import http
from martenquay_standins import network, running, world

_CHANGES = flags.DEFINE_integer("changes", 40, "Changes a case.")
_DAEMONS = flags.DEFINE_integer("daemons", 12, "Daemon processes.")
_MARK_S = 2.0
_TIMING = {
    "heartbeat_s": 1.0,
    "suspect_after_s": 3.0,
    "dead_after_s": 5.0,
    "list_poll_s": 1.0,
    "commit_s": 0.01,
    "log_timeout_s": 2.0,
}


def main(argv: list[str]) -> int:
    """Run all cases and print one table."""
    del argv
    rows = trio.run(_run)
    figures.print_table(
        ["case", "accepted to in force in every zone", "p99 within 2 s"], rows
    )
    return 0


async def _run() -> list[list[str]]:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery, http.open_client() as client:
            place = world.World(nursery, with_network=True)
            await place.start_platform()
            place.put_standard_config()
            for plan in place.plans:
                await place.add_engine(
                    plan, plan.zones[0], f"model-{plan.name}"
                )
            daemons = await _start(place, pathlib.Path(folder))
            for case in ("quiet", "under load", "a zone cut from the platform"):
                offsets = await _run_case(place, client, daemons, case)
                await trio.sleep(1.0)
                spans = _read_spans(pathlib.Path(folder), offsets)
                p99 = figures.compute_percentile(spans, 99)
                verdict = "yes" if p99 <= _MARK_S else "no"
                rows.append([case, figures.describe_seconds(spans), verdict])
            place.end_processes()
            nursery.cancel_scope.cancel()
    return rows


async def _start(
    place: world.World, folder: pathlib.Path
) -> list[running.DaemonProcess]:
    daemons = []
    for number in range(_DAEMONS.value):
        plan = place.plans[number % 2]
        zone = plan.zones[number // 2 % len(plan.zones)]
        name = f"entry-{zone}-{number}"
        with (folder / f"{name}.log").open("w") as log_file:
            daemons.append(
                await place.start_process(
                    plan, zone, name, log_file=log_file, timing=_TIMING
                )
            )
    # Membership has to be known before links carry anything.
    await trio.sleep(4.0)
    return daemons


async def _run_case(
    place: world.World,
    client: http.HttpClient,
    daemons: list[running.DaemonProcess],
    case: str,
) -> list[int]:
    assert place.network is not None
    async with trio.open_nursery() as nursery:
        if case == "under load":
            for daemon in daemons:
                for _ in range(3):
                    nursery.start_soon(_load, client, daemon)
        if case.startswith("a zone cut"):
            place.network.cut("serra-c", network.PLATFORM)
        await trio.sleep(1.0)
        offsets = []
        for number in range(_CHANGES.value):
            offsets.append(await _change(client, daemons[0], number))
            await trio.sleep(0.1)
        await trio.sleep(12.0 if case.startswith("a zone cut") else 1.0)
        nursery.cancel_scope.cancel()
    place.network.heal()
    return offsets


async def _change(
    client: http.HttpClient, daemon: running.DaemonProcess, number: int
) -> int:
    answer = await client.call(
        "POST",
        f"http://{daemon.addresses.operators}/v1/command",
        headers=[(b"authorization", b"Bearer serrana-operator")],
        body=json.dumps(
            {"text": f"set team counter weight={number % 90 + 1}"}
        ).encode(),
    )
    return json.loads(answer.ok.body)["version"]


async def _load(client: http.HttpClient, daemon: Any) -> None:
    body = json.dumps(
        {
            "model": "chat",
            "max_tokens": 20,
            "messages": [{"role": "user", "content": "a care card"}],
        }
    ).encode()
    while True:
        for partner in ("serrana", "lindqvist"):
            credential = f"Bearer {partner}-counter".encode()
            await client.call(
                "POST",
                f"http://{daemon.addresses.callers}/v1/chat/completions",
                headers=[(b"authorization", credential)],
                body=body,
            )


def _read_spans(folder: pathlib.Path, offsets: list[int]) -> list[float]:
    """Return for each offset the time from first to last daemon in force."""
    wanted = set(offsets)
    times: dict[int, list[float]] = {offset: [] for offset in offsets}
    for path in folder.glob("*.log"):
        for line in path.read_text().splitlines():
            fields = json.loads(line) if line.startswith("{") else {}
            is_record = fields.get("text", "").startswith("Record ")
            if is_record and fields["offset"] in wanted:
                times[fields["offset"]].append(fields["timestamp"])
    spans = []
    for offset, found in times.items():
        if len(found) == _DAEMONS.value:
            spans.append(max(found) - min(found))
        else:
            print(
                f"offset {offset}: only {len(found)} daemons", file=sys.stderr
            )
    return spans


if __name__ == "__main__":
    app.run(main)
