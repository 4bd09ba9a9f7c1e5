"""Say how often each topic of the platform's log is read."""

from __future__ import annotations

from martenquay_daemon.discovery import keyed_follower

__all__ = ["CATALOG", "MEMBERS", "RUNNERS", "STEPS", "STRIKES"]

# Operators' changes are rare and wanted at once. A poll that was lost in a cut
# is found out when its wait is over, or when another call shows that the log
# is well; digests tell of a newer version earlier.
CATALOG = keyed_follower.ReadSchedule(wait_s=2.0, large_fleet_wait_s=5.0)
# Runners write their entries all the time; a leaving one may get requests
# for 2 s more, so reading twice a second is early enough. In a large fleet
# that is for one hub of each zone; the others read to take over.
RUNNERS = keyed_follower.ReadSchedule(
    wait_s=1.0, pause_s=0.5, large_fleet_pause_s=1.2
)
# Daemons that start announce themselves to their seeds as well, and all at
# once when all start; each record alone would wake each daemon.
MEMBERS = keyed_follower.ReadSchedule(
    wait_s=30.0, pause_s=1.0, large_fleet_pause_s=5.0
)
# Strikes are rare, and wanted at once: a request that crashed a runner is back
# 40 ms later at another daemon. Many requests end with a runner, so in a large
# fleet their strikes come in batches. A poll that was lost in a cut is found
# out when another call shows that the log is well.
STRIKES = keyed_follower.ReadSchedule(
    wait_s=10.0, large_fleet_wait_s=30.0, large_fleet_pause_s=0.3
)
# Steps are wanted at once while an order is open, and not read before. A poll
# that was lost in a cut is found out when its wait is over.
STEPS = keyed_follower.ReadSchedule(
    wait_s=2.0, large_fleet_wait_s=5.0, idle_s=1.0
)
