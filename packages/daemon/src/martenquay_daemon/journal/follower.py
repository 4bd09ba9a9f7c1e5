"""Read a log stream continuously and apply each record in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import progress

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.platform import log
    from martenquay_daemon.journal import health

__all__ = ["StreamFollower"]

_LOG = logs.create_log("journal")
_LONG_POLL_S = 20.0
_RETRY_S = 0.2


class StreamFollower:
    """Reads a stream from its oldest record on.

    Attributes:
        stream: Name of the stream.
        applied: Offset of the last record applied; the first offset is 1.
        oldest_offset: Lowest offset that the log retained at the last read.
        is_caught_up: Whether the stream was read to its end at least once.
    """

    def __init__(
        self,
        client: log.LogClient,
        stream: str,
        log_health: health.LogHealth,
        apply: Callable[[int, bytes], None],
    ) -> None:
        self.stream = stream
        self.applied = progress.Progress()
        self.oldest_offset = 0
        self.is_caught_up = False
        self._client = client
        self._health = log_health
        self._apply = apply

    async def run(self) -> None:
        """Read until cancelled; failed reads are retried."""
        while True:
            page = await self._client.read(
                self.stream, self.applied.value + 1, wait_s=_LONG_POLL_S
            )
            if page.is_error():
                self._health.note_failure(page.error.message)
                await trio.sleep(_RETRY_S)
                continue
            self._health.note_answer()
            self._apply_page(page.ok)

    def _apply_page(self, page: log.LogPage) -> None:
        self.oldest_offset = page.start
        if page.start > self.applied.value + 1:
            _LOG.write(
                f"Stream {self.stream} now starts at offset {page.start}: the "
                "records before it were not read within the log's retention.",
            )
            self.applied.advance(page.start - 1)
        for record in page.records:
            self._apply(record.offset, record.payload)
            self.applied.advance(record.offset)
        if self.applied.value + 1 >= page.end:
            self.is_caught_up = True
