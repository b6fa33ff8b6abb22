"""PostgreSQL client sessions: turn client messages into work units and responses."""
