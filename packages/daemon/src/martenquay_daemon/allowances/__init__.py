"""Limit each team to its allowance across all daemons."""
