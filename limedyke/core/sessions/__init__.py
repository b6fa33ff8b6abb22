"""A PostgreSQL client's session: messages in, units and answers out."""
