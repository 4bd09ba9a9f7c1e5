"""Hold what the daemon, the operators' client and the stand-ins share."""
