"""Tests of the stand-ins and of the history checker."""
