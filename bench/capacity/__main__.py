"""Measure marginal costs and print the tables of docs/CAPACITY.md."""

from __future__ import annotations

import trio
from absl import app

from bench import figures
from bench.capacity import roles, slopes


def main(argv: list[str]) -> int:
    """Print marginal costs, costs of the roles and the log's append rate."""
    del argv
    measured = trio.run(slopes.measure_all)
    figures.print_table(
        ["slope", "processor us", "memory bytes", "wire bytes"],
        [
            [
                slope.name,
                f"{slope.processor_s * 1e6:.1f}",
                f"{slope.memory_bytes:.0f}",
                f"{slope.wire_bytes:.0f}",
            ]
            for slope in measured.values()
        ],
    )
    print()
    figures.print_table(
        [
            "role",
            "carried by",
            "state",
            "messages/s",
            "of a core",
            "MB",
            "bytes/s",
        ],
        [
            [
                role.name,
                role.mechanism,
                role.state,
                f"{role.messages_per_s:.2f}",
                f"{100 * role.cpu_cores:.3f}%",
                f"{role.memory_mb:.2f}",
                f"{role.bytes_per_s:.0f}",
            ]
            for role in roles.compute_roles(measured)
        ],
    )
    as_built, shared = roles.count_appends()
    print()
    figures.print_table(
        ["the log", "appends/s"],
        [
            ["as built: hardly two records share an append", f"{as_built:.0f}"],
            ["with shared appenders (not built)", f"{shared:.0f}"],
        ],
    )
    return 0


if __name__ == "__main__":
    app.run(main)
