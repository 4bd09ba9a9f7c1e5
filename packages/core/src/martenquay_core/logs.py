"""Structured logging with eliot, one JSON object for each line.

`message_type` is the fixed prefix of the part that logs, `text` a sentence for
people, and further fields are values to search for.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import eliot

from martenquay_core.util import line_writer

__all__ = ["PartLog", "create_log", "start_bounded_logging", "start_logging"]


class PartLog:
    """Logger of one part of the system.

    Attributes:
        prefix: Fixed prefix of the part's lines.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def write(self, text: str, **fields: Any) -> None:
        """Log a sentence with further fields."""
        eliot.log_message(message_type=self.prefix, text=text, **fields)


def create_log(prefix: str) -> PartLog:
    """Create the logger of the part with this prefix."""
    return PartLog(prefix)


def start_logging(source: str, stream: TextIO | None = None) -> None:
    """Write all log lines to a stream, each with the `source` field."""
    eliot.add_global_fields(source=source)
    eliot.to_file(stream or sys.stderr)


def start_bounded_logging(
    source: str, descriptor: int, *unlimited: PartLog
) -> line_writer.LineWriter:
    """Write all log lines to a descriptor from a thread, never blocking.

    Args:
        source: Value of each line's `source` field.
        descriptor: File descriptor, such as that of standard output.
        *unlimited: Loggers whose lines are never dropped for their rate.

    Returns:
        The writer, which the caller must close at the end.
    """
    eliot.add_global_fields(source=source)
    writer = line_writer.create_writer(
        descriptor, [log.prefix for log in unlimited]
    )
    eliot.add_destinations(writer.write)
    return writer
