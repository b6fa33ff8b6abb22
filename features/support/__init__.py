"""Helpers of the tests that hold no steps themselves."""
