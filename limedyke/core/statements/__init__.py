"""Sessions of statements and the members that run them; sans-IO."""
