"""Chaos tests: a workload under seeded faults and a history checker."""
