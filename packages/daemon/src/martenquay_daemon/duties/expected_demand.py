"""Assume a demand from the teams' rates before any was measured."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import catalog

__all__ = ["find_expected_rate"]


def find_expected_rate(
    content: catalog.Catalog, service: str, share: float
) -> float:
    """Return the demand to assume for a service, in tokens per second.

    The configuration does not tell which services a team uses, so the sum is
    divided evenly over the services whose engines can be ordered.

    Args:
        content: The operators' configuration.
        service: Name of the service.
        share: Share of the sum of the teams' rates; 0 assumes no demand.
    """
    scalable = {
        name
        for name, found in content.services.items()
        if found.engine is not None and found.scaling is not None
    }
    if service not in scalable:
        return 0.0
    # A rate in requests tells nothing about the prompts, and a rate of 0 means
    # no limit.
    total = sum(team.rate for team in content.teams if team.counts_tokens)
    return share * total / len(scalable)
