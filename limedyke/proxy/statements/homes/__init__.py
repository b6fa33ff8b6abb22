"""Statements that run at home proxies of their group: both sides."""
