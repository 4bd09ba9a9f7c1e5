"""Append to, follow and index streams of the platform's log."""
