"""Clients of the platform's log, instance list and cloud API."""
