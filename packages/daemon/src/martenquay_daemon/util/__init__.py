"""Utilities of the daemon, one topic per module."""
