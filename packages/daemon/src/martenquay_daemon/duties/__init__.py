"""Run the tasks that one lease holder does for the whole fleet."""
