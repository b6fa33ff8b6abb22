"""Stand-ins for the platform: members that speak its line protocol, and its authority."""
