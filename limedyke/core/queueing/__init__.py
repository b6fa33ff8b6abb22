"""Admission and order of requests that wait for a member."""
