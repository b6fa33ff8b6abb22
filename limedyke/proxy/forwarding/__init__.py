"""Forwarding of units of work to other proxies: both ends of the links between proxies."""
