"""Configuration objects, signed change records, replay and snapshots."""
