"""Partners, zones and pools of the test fleets."""

from __future__ import annotations

import dataclasses

__all__ = ["LINDQVIST", "SERRANA", "PartnerPlan"]


@dataclasses.dataclass(frozen=True)
class PartnerPlan:
    """Zones, pools and operator of one partner.

    Attributes:
        name: The name of the partner.
        zones: Its availability zones.
        model_pool: Its pool of model runners.
        service_pool: Its pool of service runners.
        operator_credential: Credential of its operator.
    """

    name: str
    zones: tuple[str, ...]
    model_pool: str
    service_pool: str
    operator_credential: str


SERRANA = PartnerPlan(
    "serrana",
    ("serra-a", "serra-b", "serra-c"),
    "reviews",
    "counter",
    "serrana-operator",
)
LINDQVIST = PartnerPlan(
    "lindqvist",
    ("lakes-a", "lakes-b", "lakes-c"),
    "arrangements",
    "dispatch",
    "lindqvist-operator",
)
