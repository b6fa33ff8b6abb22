"""Checkers of a recorded history: one for each thing that must always hold."""
