"""Give operators a command line for queries and commands."""
