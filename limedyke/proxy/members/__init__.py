"""Members that speak PostgreSQL: connections under leases, watching, promotion."""
