"""No input from outside ends a process or a stream, before or in a stop.

Run more seeds by hand with `python -m tests.test_platform.test_odd_input 0 50`.
"""

from __future__ import annotations

import random
import signal
import sys

import testtools
import trio
import zmq

from tests import odd_input, start_addresses
from tests.test_platform import process_scene

_HANG_S = 60.0
_SEEDS = range(3)
_MAX_INPUTS = 25


async def _play(seed: int) -> tuple[list[str], str]:
    """Play one seed.

    Returns:
        What was broken, and the daemon's log.
    """
    rng = random.Random(seed)
    addresses = start_addresses.create_addresses()
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    broken = []
    with trio.fail_after(_HANG_S):
        async with process_scene.open_process_scene(
            listen=addresses.build_listen()
        ) as scene:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            outside = odd_input.OddInput(rng, addresses, context)
            await outside.send(rng.randrange(_MAX_INPUTS))
            scene.send_signals(signal.SIGTERM)
            with trio.move_on_after(rng.uniform(0.0, 3.5)):
                await outside.send(_MAX_INPUTS)
            reply = await scene.read_answer(stream)
            if reply.status != 200 or not reply.is_whole:
                broken.append(f"the stream: {reply}")
            status = await scene.wait_exit()
            if status != 0:
                broken.append(f"exit status {status}")
            if "Stopped." not in scene.texts:
                broken.append("no line 'Stopped.'")
            log = scene.describe()
    context.destroy(linger=0)
    return broken, log


class OddInputTest(testtools.TestCase):
    def test_a_stream_and_its_process_end_well_beside_any_input(self) -> None:
        for seed in _SEEDS:
            broken, log = trio.run(_play, seed)
            self.assertEqual([], broken, f"seed {seed}: {log}")


def _main() -> None:
    first, end = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, end):
        broken, log = trio.run(_play, seed)
        faults = [
            line
            for line in log.splitlines()
            if "failed" in line or "nexpected error" in line
        ]
        print(seed, broken or "whole", *faults[:5], flush=True)
        if broken:
            failed += 1
            print(log)
    print(f"{end - first} seeds, {failed} broken")


if __name__ == "__main__":
    _main()
