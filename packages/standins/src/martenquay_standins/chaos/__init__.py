"""Run callers and operators under seeded failures and check the history."""
