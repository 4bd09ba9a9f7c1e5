"""Gather the platform as a daemon meets it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import ports as port_types
    from martenquay_core.serving import topics

__all__ = ["GatewayPorts"]


@dataclasses.dataclass(frozen=True)
class GatewayPorts:
    """The platform, as an adapter gives it.

    Attributes:
        log: Its log.
        cloud: Its cloud API; None where there are no duties.
        calls: Names headers.
        records: Decodes records.
        topics: Names topics.
    """

    log: port_types.LogPort
    cloud: port_types.CloudPort | None
    calls: port_types.CallCodec
    records: port_types.PlatformCodec
    topics: topics.Topics
