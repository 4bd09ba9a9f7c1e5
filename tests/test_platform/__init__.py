"""Tests of the platform's adapter, of the daemon's program and of the soak."""
