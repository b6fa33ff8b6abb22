"""The leader's care for the primaries of groups: suspicion, terms, promotion; sans-IO."""
