"""Helpers for HTTP, TCP, signals, clocks and logging."""
