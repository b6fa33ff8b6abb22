"""Frozen typed messages of the internal protocol, encoded with ormsgpack."""
