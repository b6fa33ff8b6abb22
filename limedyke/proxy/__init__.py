"""The proxy process: the curio I/O around the core."""
