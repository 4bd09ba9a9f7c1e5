"""Code shared by the daemon, the operators' client and the stand-ins."""
