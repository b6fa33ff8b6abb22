"""PostgreSQL protocol between a stand-in member and its clients."""
