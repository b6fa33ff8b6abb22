"""How a group's connections are divided among its home proxies."""
