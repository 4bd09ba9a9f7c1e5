"""Serve operators' queries and commands over HTTP."""
