"""The proxy's part in the tenants' limits of operations."""
