"""Messages between daemons and the ZeroMQ sockets that carry them."""
