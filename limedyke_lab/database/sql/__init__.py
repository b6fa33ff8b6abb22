"""SQL of the stand-in member: tokenizing, translation to SQLite, and functions."""
