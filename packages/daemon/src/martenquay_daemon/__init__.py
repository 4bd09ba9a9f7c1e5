"""Load balancer daemon that routes callers' requests to runners."""
