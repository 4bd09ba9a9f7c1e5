"""Write structured log lines: a fixed prefix for each part, a short sentence.

eliot writes one JSON object a line. `message_type` holds the prefix, `text`
the sentence, and further fields what a program may want to search for.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import eliot

from martenquay_core.util import line_writer

__all__ = ["PartLog", "create_log", "start_bounded_logging", "start_logging"]


class PartLog:
    """Log for one part of the system.

    Attributes:
        prefix: The part's fixed prefix.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def write(self, text: str, **fields: Any) -> None:
        """Log a sentence with its fields."""
        eliot.log_message(message_type=self.prefix, text=text, **fields)


def create_log(prefix: str) -> PartLog:
    """Return the log of the part with this prefix."""
    return PartLog(prefix)


def start_logging(source: str, stream: TextIO | None = None) -> None:
    """Send all log lines to a stream, each with the name of its source."""
    eliot.add_global_fields(source=source)
    eliot.to_file(stream or sys.stderr)


def start_bounded_logging(
    source: str, descriptor: int, *unlimited: PartLog
) -> line_writer.LineWriter:
    """Send all log lines to a descriptor without ever waiting for it.

    Args:
        source: Stands in each line.
        descriptor: For instance that of standard output.
        *unlimited: Parts whose lines are few and not bounded in rate.

    Returns:
        The writer, to be closed at the end.
    """
    eliot.add_global_fields(source=source)
    writer = line_writer.create_writer(
        descriptor, [log.prefix for log in unlimited]
    )
    eliot.add_destinations(writer.write)
    return writer
