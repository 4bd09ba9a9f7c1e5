"""Hold the configuration model and the fold of the log into it."""
