"""Send requests to runners and bring back whole answers."""
