"""Remember which software version began each stream, for all daemons."""
