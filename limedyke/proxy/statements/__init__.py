"""A proxy without a disk, for sessions of statements: the shell around ``core.statements``."""
