"""What is known of an SQL statement from its text."""
