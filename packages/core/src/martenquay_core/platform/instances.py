"""Client of the instance list and its reclaim notices."""

from __future__ import annotations

import enum

import msgspec
from expression import Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.util import http

__all__ = [
    "Instance",
    "InstanceClient",
    "InstanceKind",
    "InstanceState",
    "Notice",
    "NoticePage",
    "create_client",
]

_TIMEOUT_S = 3.0
_NOT_MODIFIED = 304


class InstanceKind(enum.Enum):
    """Role of an instance."""

    ENTRY = "entry"
    RUNNER = "runner"


class InstanceState(enum.Enum):
    """State of an instance in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One instance in the list.

    Attributes:
        name: Unique name, never reused.
        kind: Entry instance (with a daemon) or runner.
        partner: Partner that pays for the instance.
        zone: Availability zone.
        address: Host and port of a runner's HTTP server, or of a daemon's
            socket for other daemons.
        state: Live or leaving.
        pool: Pool of a runner; empty for entry instances.
        machine_class: Price class.
        price: Price of an hour, in one currency for all.
        slots: Requests that a runner processes concurrently.
    """

    name: str
    kind: InstanceKind
    partner: str
    zone: str
    address: str
    state: InstanceState = InstanceState.LIVE
    pool: str = ""
    machine_class: str = "reclaimable"
    price: float = 1.0
    slots: int = 8


class Notice(msgspec.Struct, frozen=True):
    """Notice that the platform is reclaiming an instance.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone.
    """

    instance: str
    zone: str


class NoticePage(msgspec.Struct, frozen=True):
    """Reclaim notices after a position.

    Attributes:
        end: Position to continue reading from.
        notices: Notices, oldest first.
    """

    end: int
    notices: list[Notice]


class InstanceClient:
    """Reads the instance list and reclaim notices."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._etag = b""
        self._cached: list[Instance] = []

    async def list_instances(
        self,
    ) -> Result[list[Instance], outcome.PlatformFailure]:
        """Return the platform's list, which lags behind the real instances.

        The list is large and seldom changes, so a conditional request with
        its ETag avoids another transfer of an unchanged list.
        """
        headers = [(b"if-none-match", self._etag)] if self._etag else []
        answer = await self._client.call(
            "GET",
            f"{self._url}/instances",
            headers=headers,
            timeout_s=_TIMEOUT_S,
        )
        if answer.is_ok() and answer.ok.status == _NOT_MODIFIED:
            return Ok(self._cached)
        listed = http.decode_json(answer, list[Instance])
        if listed.is_ok():
            self._etag = dict(answer.ok.headers).get(b"etag", b"")
            self._cached = listed.ok
        return listed.map_error(outcome.describe_call_failure)

    async def read_notices(
        self, position: int, wait_s: float
    ) -> Result[NoticePage, outcome.PlatformFailure]:
        """Return reclaim notices after a position; wait up to `wait_s`."""
        query = f"from={position}&wait_ms={int(wait_s * 1000)}"
        answer = await self._client.call(
            "GET",
            f"{self._url}/notices?{query}",
            timeout_s=_TIMEOUT_S + wait_s,
        )
        page = http.decode_json(answer, NoticePage)
        return page.map_error(outcome.describe_call_failure)


def create_client(client: http.HttpClient, url: str) -> InstanceClient:
    """Return a client for the instance list at `url`."""
    return InstanceClient(client, url)
