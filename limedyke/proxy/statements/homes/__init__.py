"""Forwarding of statements to home proxies: the sending and the serving side."""
