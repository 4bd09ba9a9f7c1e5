"""Write entries of an unnamed service at the runners' addresses, then kill all.

No case, as there are three already; the report tells what it shows.
"""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import recovery

if TYPE_CHECKING:
    import harness

_PAUSE_S = 8.0


async def _write_entries(fleet: harness.Deployment) -> None:
    """Write an entry for each runner; `born` is missing."""
    for runner_id, address in fleet.runners.items():
        entry = {
            "Service": "not-named",
            "Addr": address,
            "Zone": "caxias-a",
            "Version": "1",
            "Slots": 64,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
        }
        await fleet.append("keyed.servers", f"other-{runner_id}", entry)
    await trio.sleep(_PAUSE_S)


if __name__ == "__main__":
    here = pathlib.Path(__file__).resolve().parent
    sys.exit(recovery.run_case(here, _write_entries))
