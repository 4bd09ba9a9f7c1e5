"""Tests of admission control under overload."""
