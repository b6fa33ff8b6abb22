"""Clients of sessions of statements."""
