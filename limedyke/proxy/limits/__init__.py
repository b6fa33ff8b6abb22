"""Enforcement of tenants' operation limits at a proxy."""
