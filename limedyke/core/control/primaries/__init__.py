"""The leader's handling of primaries: failure detection, terms and promotion, without I/O."""
