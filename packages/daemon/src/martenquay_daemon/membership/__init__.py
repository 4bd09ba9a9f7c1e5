"""Detect failed daemons by heartbeats and gossip which runners are leaving."""
