"""Operators' YAML: read, checked, and turned into the declaration that controllers keep."""
