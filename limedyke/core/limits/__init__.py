"""How many operations a tenant may run, over all proxies."""
