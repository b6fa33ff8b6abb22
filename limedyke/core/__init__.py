"""Sans-IO logic: no clock, socket, file or source of randomness inside."""
