"""Define how often the daemon reads each topic of the platform's log."""

from __future__ import annotations

from martenquay_daemon.discovery import keyed_follower

__all__ = ["CATALOG", "MEMBERS", "RUNNERS", "STEPS", "CRASH_RECORDS"]

# Operators' changes are rare and needed at once. The wait bounds how long a
# poll that a network partition cut off goes unnoticed.
CATALOG = keyed_follower.ReadSchedule(wait_s=2.0, large_fleet_wait_s=5.0)
# Runners write heartbeats all the time, and a draining one accepts requests for
# 2 s more. In a large fleet one hub of each zone reads at this rate; the others
# read less often, to take over.
RUNNERS = keyed_follower.ReadSchedule(
    wait_s=1.0, pause_s=0.5, large_fleet_pause_s=1.2
)
# Daemons that start also announce themselves to their seeds. Without the
# pause each record would wake each daemon when all start at once.
MEMBERS = keyed_follower.ReadSchedule(
    wait_s=30.0, pause_s=1.0, large_fleet_pause_s=5.0
)
# Crash records are rare and needed at once: the request that crashed a runner
# is retried at another daemon within milliseconds. In a large fleet the pause
# batches the records of all requests that ended with one runner.
CRASH_RECORDS = keyed_follower.ReadSchedule(
    wait_s=10.0, large_fleet_wait_s=30.0, large_fleet_pause_s=0.3
)
# Rollout steps are needed at once while a rollout order is open, and not read
# otherwise. The wait bounds how long a cut-off poll goes unnoticed.
STEPS = keyed_follower.ReadSchedule(
    wait_s=2.0, large_fleet_wait_s=5.0, idle_s=1.0
)
