"""The replicated control state and the decisions of the leading controller, without I/O."""
