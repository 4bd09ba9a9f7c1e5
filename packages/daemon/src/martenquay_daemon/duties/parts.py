"""Build the tasks that only the lease holder carries out."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.duties import (
    capacity_controller,
    capacity_target,
    duty_calls,
    lost_runners,
    usage_reporter,
)
from martenquay_daemon.fleet import announcements
from martenquay_daemon.rollouts import controller as rollout_controller

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio

    from martenquay_core.serving import ports as port_types
    from martenquay_core.serving import runners
    from martenquay_core.settings import gateway
    from martenquay_daemon import gateway_ports
    from martenquay_daemon.backpressure import runner_limits
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.duties import capacity_memory, lease, usage_counts
    from martenquay_daemon.engines import demand, loads, model, speed_tracker
    from martenquay_daemon.fleet import links, roster, view
    from martenquay_daemon.rollouts import parts as rollout_parts

__all__ = ["DutySources", "list_tasks"]


@dataclasses.dataclass(frozen=True)
class DutySources:
    """Dependencies of the duties' tasks.

    Attributes:
        ports: Connections to the platform.
        settings: The settings read at the start.
        lease: The lease that permits the duties.
        store: The catalog.
        directory: The known runners.
        meter: Rates of uncached prompt tokens at this daemon.
        ledger: Requests in progress at runners.
        estimates: Prefill speed of each service's engines.
        usage: Requests started, by window and team.
        fleet: What other daemons gossip.
        limits: Rate limits that runners reported.
        roster: Announced daemons.
        links: Connections to other daemons.
        rollouts: Rollout orders and their state.
        memory: What an earlier lease holder learnt.
        runners_read: Set once the runners' entries were read.
        is_unreachable: Returns whether a runner refused a connection recently.
        speeds: Speeds of the engines.
    """

    ports: gateway_ports.GatewayPorts
    settings: gateway.GatewaySettings
    lease: lease.Lease
    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    meter: demand.DemandMeter
    ledger: loads.LoadLedger
    estimates: model.RunnerModel
    usage: usage_counts.UsageCounts
    fleet: view.FleetView
    limits: runner_limits.RunnerLimits
    roster: roster.Roster
    links: links.FleetLinks
    rollouts: rollout_parts.RolloutState
    memory: capacity_memory.CapacityMemory
    runners_read: trio.Event
    is_unreachable: Callable[[str], bool]
    speeds: speed_tracker.SpeedTracker


def list_tasks(
    sources: DutySources, cloud: port_types.CloudPort
) -> dict[str, Callable[[], Awaitable[None]]]:
    """Return the tasks to run, by name.

    Args:
        sources: Dependencies of the tasks.
        cloud: Accepts usage reports and orders of runners.
    """
    cloud = duty_calls.LeasedCloud(cloud, sources.lease)
    tasks = {
        "lease": sources.lease.run,
        "usage": _create_reporter(sources, cloud).run,
        "capacity": _create_capacity_controller(sources, cloud).run,
        "rollouts": _create_rollout_controller(sources).run,
        "list": _create_remover(sources).run,
    }
    if sources.settings.load.capacity_memory:
        tasks["capacity memory"] = lambda: sources.memory.run(
            [sources.rollouts.follower.first_read, sources.runners_read],
            sources.lease.is_held,
        )
    return tasks


def _create_reporter(
    sources: DutySources, cloud: port_types.CloudPort
) -> usage_reporter.UsageReporter:
    settings = sources.settings
    return usage_reporter.UsageReporter(
        sources.ports.log,
        sources.ports.topics.usage,
        cloud,
        settings.instance,
        sources.lease,
        sources.usage,
        sources.fleet,
        usage_reporter.ReportDeadline(settings.bounds.usage_late_s),
    )


def _create_capacity_controller(
    sources: DutySources, cloud: port_types.CloudPort
) -> capacity_controller.CapacityController:
    lost = lost_runners.LostRunners(
        sources.is_unreachable, sources.fleet.is_zone_silent
    )

    def list_serving(
        service: str, usable: list[runners.Runner]
    ) -> list[runners.Runner]:
        return sources.rollouts.versions.list_serving(
            service, lost.filter_present(usable)
        )

    controller = capacity_controller.CapacityController(
        capacity_controller.CapacityParts(
            cloud=cloud,
            holder=sources.settings.instance,
            lease=sources.lease,
            store=sources.store,
            directory=sources.directory,
            targets=capacity_target.TargetSources(
                store=sources.store,
                directory=sources.directory,
                meter=sources.meter,
                ledger=sources.ledger,
                estimates=sources.estimates,
                fleet=sources.fleet,
                limits=sources.limits,
                expected_share=sources.settings.load.expected_demand,
                memory=sources.memory,
            ),
            list_serving=list_serving,
            find_speed=sources.speeds.find_usual,
        )
    )
    sources.directory.on_loss = controller.reconcile_soon
    return controller


def _create_rollout_controller(
    sources: DutySources,
) -> rollout_controller.RolloutController:
    return rollout_controller.RolloutController(
        rollout_controller.RolloutParts(
            log=sources.ports.log,
            topics=sources.ports.topics,
            codec=sources.ports.records,
            follower=sources.rollouts.follower,
            lease=sources.lease,
            orders=sources.rollouts.orders,
            trials=sources.rollouts.trials,
            directory=sources.directory,
            ledger=sources.ledger,
        )
    )


def _create_remover(sources: DutySources) -> announcements.Remover:
    return announcements.Remover(
        sources.ports.log,
        sources.ports.topics.members,
        sources.roster,
        lambda: sources.lease.is_held() and sources.links.is_mesh(),
    )
