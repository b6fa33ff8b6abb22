"""Stand-ins of the review's scripts; they use only the standard library."""
