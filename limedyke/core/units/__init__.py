"""Units of work of a session, and the answers to them."""
