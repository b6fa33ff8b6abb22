"""SQL of the stand-in member: read, translated for SQLite, and its functions."""
