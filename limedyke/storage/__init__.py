"""Crash-safe storage: the controllers' durable log and crash-safe files."""
