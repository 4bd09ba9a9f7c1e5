"""Define what daemons say to each other and the sockets they use for it."""
