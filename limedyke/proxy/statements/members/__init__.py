"""Connections to members: pooling, queueing, statements and status queries."""
