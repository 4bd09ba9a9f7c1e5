"""Detect failed daemons by heartbeats and spread which runners are leaving."""
