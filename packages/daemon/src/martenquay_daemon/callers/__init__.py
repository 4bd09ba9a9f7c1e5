"""ASGI app for callers: chat completions, tickets and service calls."""
