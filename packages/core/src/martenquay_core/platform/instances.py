"""Read the platform's lagging list of live and leaving instances."""

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
    """What an instance is for."""

    ENTRY = "entry"
    RUNNER = "runner"


class InstanceState(enum.Enum):
    """What the list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One instance of the list.

    Attributes:
        name: Unique, never used again.
        kind: Entry instance or runner.
        partner: The partner who pays for it.
        zone: Its availability zone.
        address: Host and port: of a runner's HTTP, or of an entry
            instance's peer link.
        state: Live or leaving.
        pool: The runner's pool; empty for entry instances.
        machine_class: Its price class.
        price: What an hour costs, in any one unit.
        slots: How many requests the runner works on at once.
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
    """An announcement that an instance is being reclaimed.

    Attributes:
        instance: The instance's name.
        zone: Its availability zone.
    """

    instance: str
    zone: str


class NoticePage(msgspec.Struct, frozen=True):
    """Notices after a position.

    Attributes:
        end: The position to go on from.
        notices: The notices.
    """

    end: int
    notices: list[Notice]


class InstanceClient:
    """Talk to the instance list."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._etag = b""
        self._cached: list[Instance] = []

    async def list_instances(
        self,
    ) -> Result[list[Instance], outcome.PlatformFailure]:
        """Return the list as it stands at the platform, which lags.

        The list is large and seldom changes, so it is sent again only when
        its entity tag has changed.
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
        """Return reclaim notices after a position, waiting for one."""
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
