"""The work of a controller while it leads."""
