"""Clients of the PostgreSQL protocol: their connections, limits and logins."""
