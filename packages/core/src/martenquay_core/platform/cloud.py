"""Start and stop instances through the platform's cloud API.

A start carries an id: sent again after a lost answer, it starts no second
instance and gives the first one's name.
"""

from __future__ import annotations

import enum

import msgspec
from expression import Error, Result

from martenquay_core.platform import outcome
from martenquay_core.util import http

__all__ = [
    "CloudClient",
    "InstanceOrder",
    "MachineClass",
    "Price",
    "Started",
    "create_client",
]

_TIMEOUT_S = 5.0


class MachineClass(enum.Enum):
    """How an instance is paid for."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


class InstanceOrder(msgspec.Struct, frozen=True):
    """Ask for an instance.

    Attributes:
        order_id: Names the order, so that it can be sent again.
        partner: Who pays.
        pool: The pool that it is for.
        zone: The availability zone.
        machine_class: How it is paid for.
    """

    order_id: str
    partner: str
    pool: str
    zone: str
    machine_class: MachineClass


class Started(msgspec.Struct, frozen=True):
    """An instance that is starting.

    Attributes:
        name: Its name in the instance list.
    """

    name: str


class Price(msgspec.Struct, frozen=True):
    """What an hour of an instance costs now.

    Attributes:
        zone: The availability zone.
        machine_class: The class.
        price: The price, in any one unit.
    """

    zone: str
    machine_class: MachineClass
    price: float


class CloudClient:
    """Talk to the cloud API."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")

    async def start_instance(
        self, order: InstanceOrder
    ) -> Result[Started, outcome.PlatformFailure]:
        """Order an instance.

        A refusal is `Effect.NOT_DONE`; an answer that was lost is
        `Effect.UNKNOWN`, and the same order may be sent again.
        """
        answer = await self._client.call(
            "POST",
            f"{self._url}/instances",
            body=msgspec.json.encode(order),
            timeout_s=_TIMEOUT_S,
        )
        match answer:
            case Result(tag="ok", ok=http.Answer(status=200)):
                started = http.decode_json(answer, Started)
                return started.map_error(outcome.describe_call_failure)
            case Result(tag="ok", ok=http.Answer(status=409 | 503)):
                effect = outcome.Effect.NOT_DONE
                return Error(outcome.PlatformFailure(effect, "refused"))
            case Result(tag="ok", ok=other):
                effect = outcome.Effect.UNKNOWN
                message = f"status {other.status}"
                return Error(outcome.PlatformFailure(effect, message))
            case _:
                return Error(outcome.describe_call_failure(answer.error))

    async def stop_instance(
        self, name: str
    ) -> Result[bool, outcome.PlatformFailure]:
        """Stop an instance; stopping one that is gone is no failure."""
        answer = await self._client.call(
            "DELETE", f"{self._url}/instances/{name}", timeout_s=_TIMEOUT_S
        )
        stopped = http.decode_json(answer, bool)
        return stopped.map_error(outcome.describe_call_failure)

    async def list_prices(
        self,
    ) -> Result[list[Price], outcome.PlatformFailure]:
        """Return the prices of today by zone and class."""
        answer = await self._client.call(
            "GET", f"{self._url}/prices", timeout_s=_TIMEOUT_S
        )
        prices = http.decode_json(answer, list[Price])
        return prices.map_error(outcome.describe_call_failure)


def create_client(client: http.HttpClient, url: str) -> CloudClient:
    """Return a client for the cloud API at `url`."""
    return CloudClient(client, url)
