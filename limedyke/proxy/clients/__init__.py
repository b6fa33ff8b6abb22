"""Client side of the proxy: connections of PostgreSQL clients, their limits and logins."""
