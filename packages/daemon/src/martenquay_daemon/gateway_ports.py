"""Define the platform adapters that a daemon is built with."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import ports as port_types
    from martenquay_core.serving import topics

__all__ = ["GatewayPorts"]


@dataclasses.dataclass(frozen=True)
class GatewayPorts:
    """Adapters to the platform.

    Attributes:
        log: The platform's log.
        cloud: The cloud API; None if this daemon never takes the duties.
        calls: Decodes and encodes the headers of requests and answers.
        records: Decodes and encodes the records of the log.
        topics: Names of the log's topics.
        engines: Calls that move runs between engines; None if the platform
            has none.
    """

    log: port_types.LogPort
    cloud: port_types.CloudPort | None
    calls: port_types.CallCodec
    records: port_types.PlatformCodec
    topics: topics.Topics
    engines: port_types.EnginePort | None = None
