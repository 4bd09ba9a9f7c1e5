"""Append to and follow streams of the platform's log."""
