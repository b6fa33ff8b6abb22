"""Developer tools that run on the source tree."""
