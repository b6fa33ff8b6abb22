"""Benchmarks of consensus between three real controllers on loopback with synced disks.

``python -m limedyke_lab.agreement_measurements`` prints one line per result.
"""
