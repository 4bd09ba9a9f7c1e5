"""Compare load balancing policies for model requests on simulated engines."""
