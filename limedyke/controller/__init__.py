"""The controller process: a thin curio shell around the sans-IO core."""
