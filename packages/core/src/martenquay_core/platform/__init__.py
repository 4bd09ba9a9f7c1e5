"""Meet the platform: the log, the instance list and the cloud API."""
