"""Fake instance list of the platform, with its reclaim notices."""

from __future__ import annotations

import dataclasses

import msgspec
import trio

from martenquay_core.platform import instances
from martenquay_core.util import progress, serving
from martenquay_standins import web

__all__ = ["InstanceListStandIn"]


@dataclasses.dataclass
class ListFaults(web.Faults):
    """Faults of the instance list besides the common ones.

    Attributes:
        lag_s: Age of the list that is served.
    """

    lag_s: float = 0.0


class InstanceListStandIn(web.StandIn):
    """Keeps all versions of the list and the notices in memory.

    Attributes:
        unchanged_count: Number of requests answered with 304.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: ListFaults = ListFaults()
        self.unchanged_count = 0
        self._versions: list[tuple[float, dict[str, instances.Instance]]] = [
            (-1e9, {})
        ]
        self._notices: list[dict[str, object]] = []
        self._notice_end = progress.Progress(0)

    async def handle(self, request: web.Request) -> None:
        """Serve `/instances` (list, add and remove) and `/notices`."""
        if await self.refuse_when_down(request):
            return
        match request.method, request.path:
            case "GET", "/instances":
                await self._send_list(request)
            case "POST", "/instances":
                self.put(
                    msgspec.json.decode(request.body, type=instances.Instance)
                )
                await web.reply_json(request.send, {})
            case "DELETE", path:
                self.remove(path.removeprefix("/instances/"))
                await web.reply_json(request.send, {})
            case "POST", "/notices":
                fields = request.read_json()
                self.give_notice(fields["instance"], fields["zone"])
                await web.reply_json(request.send, {})
            case _:
                await self._read_notices(request)

    def put(self, instance: instances.Instance) -> None:
        """Add an instance or replace its entry."""
        self._add_version({**self._versions[-1][1], instance.name: instance})

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        listed_now = dict(self._versions[-1][1])
        listed_now.pop(name, None)
        self._add_version(listed_now)

    def give_notice(self, name: str, zone: str) -> None:
        """Publish a notice that an instance will be reclaimed."""
        self._notices.append({"instance": name, "zone": zone})
        self._notice_end.advance(len(self._notices))

    async def _send_list(self, request: web.Request) -> None:
        """Send the list, or 304 if the client's ETag is current."""
        until = trio.current_time() - self.faults.lag_s
        visible = [
            (number, entry)
            for number, (time, entry) in enumerate(self._versions)
            if time <= until
        ]
        number, listed = visible[-1]
        tag = str(number).encode()
        if serving.find_header(request.scope, b"if-none-match") == str(number):
            self.unchanged_count += 1
            await serving.send_answer(request.send, 304, b"", [(b"etag", tag)])
            return
        body = msgspec.json.encode(list(listed.values()))
        await serving.send_answer(request.send, 200, body, [(b"etag", tag)])

    def _add_version(self, listed_now: dict[str, instances.Instance]) -> None:
        self._versions.append((trio.current_time(), listed_now))

    async def _read_notices(self, request: web.Request) -> None:
        start = int(request.query.get("from", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        with trio.move_on_after(wait_s):
            await self._notice_end.wait_beyond(start)
        content = {"end": len(self._notices), "notices": self._notices[start:]}
        await web.reply_json(request.send, content)
