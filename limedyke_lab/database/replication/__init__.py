"""Replicated log of a stand-in member, and following, promises and promotion."""
