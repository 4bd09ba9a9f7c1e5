"""Command line that runs one fake server: log, instances, service, engine."""

from __future__ import annotations

import json
import sys

import trio
from absl import app, flags

from martenquay_standins import (
    engine,
    host,
    instances,
    log,
    loopback,
    service,
    web,
)

__all__ = ["start"]

_ADDRESS = flags.DEFINE_string(
    "address", loopback.create_address(), "Where to listen."
)
_SLOTS = flags.DEFINE_integer("slots", 8, "An engine's slots.")
_TOKEN_S = flags.DEFINE_float("token_s", 0.002, "Seconds between two tokens.")
_PREFILL = flags.DEFINE_float(
    "prefill_tokens_s", 20_000.0, "Prompt tokens an engine reads a second."
)
_EXIT_USAGE = 2


def start() -> None:
    """Run the fake server that the command line names."""
    app.run(_run)


def _run(argv: list[str]) -> int:
    match argv[1:]:
        case ["log"]:
            trio.run(_serve, log.LogStandIn())
        case ["instances"]:
            trio.run(_serve, instances.InstanceListStandIn())
        case ["service"]:
            trio.run(_serve, service.ServiceStandIn("service"))
        case ["engine"]:
            shape = engine.EngineShape(
                _SLOTS.value, _PREFILL.value, _TOKEN_S.value
            )
            trio.run(_serve, engine.EngineStandIn(shape))
        case _:
            print(
                "usage: KIND is log, instances, service or engine",
                file=sys.stderr,
            )
            return _EXIT_USAGE
    return 0


async def _serve(stand_in: web.StandIn) -> None:
    async with trio.open_nursery() as nursery:
        running = await host.start_stand_in(nursery, stand_in, _ADDRESS.value)
        print(json.dumps({"address": running.address}), flush=True)
        await trio.sleep_forever()
