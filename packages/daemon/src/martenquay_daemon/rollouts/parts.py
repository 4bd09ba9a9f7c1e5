"""Build the rollout state that each daemon keeps."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.discovery import (
    fan_out_sink,
    keyed_follower,
    read_schedules,
)
from martenquay_daemon.rollouts import records, registry, tallies, versions

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_core.serving import ports, topics
    from martenquay_daemon.discovery import contact

__all__ = ["RolloutState", "create_rollout_state"]

# Log reads succeed more often than this while the log is reachable.
_LOG_CONTACT_S = 2.5


@dataclasses.dataclass(frozen=True)
class RolloutState:
    """The rollout objects of one daemon.

    Attributes:
        orders: Known orders and steps.
        order_sink: Receives orders from the operators' topic.
        follower: Reads the steps' topic.
        trials: Results of canary trials.
        versions: Chooses runners by version.
    """

    orders: registry.RolloutRegistry
    order_sink: records.OrderSink
    follower: keyed_follower.KeyedFollower
    trials: tallies.TallyTable
    versions: versions.VersionChooser


def create_rollout_state(
    log: ports.LogPort,
    log_contact: contact.LogContact,
    names: topics.Topics,
    codec: ports.PlatformCodec,
    rng: random.Random,
    count_daemons: Callable[[], int],
    other_sink: keyed_follower.RecordSink,
) -> RolloutState:
    """Return the rollout objects, connected to each other.

    Args:
        log: The platform's log.
        log_contact: Whether and when the log answered.
        names: Names of the log's topics.
        codec: Decodes operators' orders.
        rng: Chooses between versions.
        count_daemons: Returns the number of daemons.
        other_sink: Gets the records of the steps' topic as well.
    """
    orders = registry.RolloutRegistry()
    return RolloutState(
        orders,
        records.OrderSink(codec, orders),
        keyed_follower.KeyedFollower(
            log,
            log_contact,
            names.rollouts,
            fan_out_sink.FanOutSink(records.StepSink(orders), other_sink),
            read_schedules.STEPS,
            is_needed=orders.has_open,
        ),
        tallies.TallyTable(),
        versions.VersionChooser(
            orders,
            rng,
            count_daemons,
            lambda: log_contact.age_s < _LOG_CONTACT_S,
        ),
    )
