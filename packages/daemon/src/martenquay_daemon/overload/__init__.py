"""Admission control while a service's engines cannot start all requests."""
