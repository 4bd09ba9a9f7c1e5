"""Load-aware request placement with prefix affinity."""
