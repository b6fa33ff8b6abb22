"""Stand-ins of the second review: members, platform, clients and operator."""
