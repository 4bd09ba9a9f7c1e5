"""Client of the cloud API that starts and stops instances.

Starting is idempotent: an order repeated with the same id starts no second
instance and returns the name of the first.
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
    """Price class of an instance."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


class InstanceOrder(msgspec.Struct, frozen=True):
    """Order for one instance.

    Attributes:
        order_id: Idempotency key of the order.
        partner: Partner that pays for the instance.
        pool: Pool that the instance joins.
        zone: Availability zone.
        machine_class: Price class.
    """

    order_id: str
    partner: str
    pool: str
    zone: str
    machine_class: MachineClass


class Started(msgspec.Struct, frozen=True):
    """An instance that is starting.

    Attributes:
        name: Name of the instance in the instance list.
    """

    name: str


class Price(msgspec.Struct, frozen=True):
    """Current price of an instance hour.

    Attributes:
        zone: Availability zone.
        machine_class: Price class.
        price: Price, in one currency for all.
    """

    zone: str
    machine_class: MachineClass
    price: float


class CloudClient:
    """Calls the cloud API."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")

    async def start_instance(
        self, order: InstanceOrder
    ) -> Result[Started, outcome.PlatformFailure]:
        """Order an instance.

        A refusal is `Effect.NOT_DONE`. A lost answer is `Effect.UNKNOWN`;
        the same order may then be sent again.
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
        """Stop an instance; succeeds if it has already stopped."""
        answer = await self._client.call(
            "DELETE", f"{self._url}/instances/{name}", timeout_s=_TIMEOUT_S
        )
        stopped = http.decode_json(answer, bool)
        return stopped.map_error(outcome.describe_call_failure)

    async def list_prices(
        self,
    ) -> Result[list[Price], outcome.PlatformFailure]:
        """Return the current prices by zone and price class."""
        answer = await self._client.call(
            "GET", f"{self._url}/prices", timeout_s=_TIMEOUT_S
        )
        prices = http.decode_json(answer, list[Price])
        return prices.map_error(outcome.describe_call_failure)


def create_client(client: http.HttpClient, url: str) -> CloudClient:
    """Return a client for the cloud API at `url`."""
    return CloudClient(client, url)
