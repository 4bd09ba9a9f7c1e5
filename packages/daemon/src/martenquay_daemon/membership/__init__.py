"""Know which daemons are alive and which runners are leaving."""
