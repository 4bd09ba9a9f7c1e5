"""Build the parts that remember the origins of streams."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.serving import catalog
from martenquay_daemon.origins import (
    current_entries,
    finder,
    log,
    table,
    version_log,
    versions,
)

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import (
        catalog_store,
        keyed_follower,
        runner_directory,
    )

__all__ = ["Origins", "create_origins"]

# A stream and the tries to resume it end within the caller's time, which is
# the route's at most; the rest allows for callers that begin late.
_LIFETIME_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Origins:
    """The parts that remember the origins of streams.

    Attributes:
        finder: Finds the version that began a stream.
        log: Shares origins with other daemons.
    """

    finder: finder.OriginFinder
    log: log.OriginLog


def create_origins(
    platform_log: ports.LogPort,
    topic: str,
    versions_topic: str,
    store: catalog_store.CatalogStore,
    directory: runner_directory.RunnerDirectory,
    runner_follower: keyed_follower.KeyedFollower,
    peers: log.OriginPeers,
) -> Origins:
    """Return the parts, without any origin.

    Args:
        platform_log: The platform's log.
        topic: The topic of origins.
        versions_topic: The topic of the services' versions.
        store: The catalog, whose routes tell how long streams last.
        directory: The known runners.
        runner_follower: Reads the runners' entries.
        peers: The daemons to share origins with.
    """

    def find_lifetimes() -> dict[str, float]:
        return _find_lifetimes(store.table.catalog)

    origins = table.OriginTable()
    history = versions.VersionHistory(
        directory.list_all,
        lambda service: find_lifetimes().get(service, 0.0),
        lambda: runner_follower.copy_age.age_s,
    )
    origin_log = log.OriginLog(
        platform_log,
        topic,
        origins,
        history,
        version_log.VersionLog(platform_log, versions_topic, history),
        find_lifetimes,
        peers,
    )
    return Origins(
        finder.OriginFinder(
            origins,
            history,
            origin_log,
            current_entries.CurrentEntries(runner_follower),
        ),
        origin_log,
    )


def _find_lifetimes(content: catalog.Catalog) -> dict[str, float]:
    """Return how long streams of each service may be resumed, in seconds."""
    lifetimes: dict[str, float] = {}
    for route in content.routes:
        if route.kind is not catalog.CallKind.STREAM:
            continue
        lifetime_s = _LIFETIME_FACTOR * route.timeout_s
        for destination in route.destinations:
            known_s = lifetimes.get(destination.service, 0.0)
            lifetimes[destination.service] = max(known_s, lifetime_s)
    return lifetimes
