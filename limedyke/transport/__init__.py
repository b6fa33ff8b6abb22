"""Links between the system's own processes, and the HTTP status interface."""
