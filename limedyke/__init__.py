"""limedyke: a database proxy with session consistency for PostgreSQL-speaking groups."""

__version__ = "0.1.0"
