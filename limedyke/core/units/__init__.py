"""Units of work of a session, and their answers."""
