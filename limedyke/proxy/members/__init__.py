"""PostgreSQL members: leased connections, health monitoring and promotion."""
