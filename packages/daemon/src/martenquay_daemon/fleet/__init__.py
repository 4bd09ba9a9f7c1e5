"""Exchange state with the other daemons of the fleet."""
