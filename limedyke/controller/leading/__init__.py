"""What a controller does only while it leads."""
