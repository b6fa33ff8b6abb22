"""The PostgreSQL v3 wire protocol, by way of py-postgresql, scramp and sqlglot."""
