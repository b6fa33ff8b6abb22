"""Limits on the number of operations that a tenant runs across all proxies."""
