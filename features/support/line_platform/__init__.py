"""Fakes of the platform: members that speak the line protocol, and the promotion authority."""
