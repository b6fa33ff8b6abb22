"""A soak of configuration changes while processes and disks fail."""
