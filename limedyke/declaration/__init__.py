"""Reads and validates operators' YAML files and converts them to a ``Declaration``."""
