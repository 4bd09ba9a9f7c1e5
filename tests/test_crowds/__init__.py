"""Crowds of clients outside the limits, one such test at a time."""
