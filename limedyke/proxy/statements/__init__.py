"""The diskless statement proxy: sockets, tasks and timers around ``core.statements``."""
