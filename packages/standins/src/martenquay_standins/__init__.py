"""Fake platform services, model engines and backend servers for tests."""
