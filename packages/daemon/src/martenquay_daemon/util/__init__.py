"""Hold small helpers of the daemon, one topic a module."""
