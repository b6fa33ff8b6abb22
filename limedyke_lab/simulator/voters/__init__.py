"""Controllers that keep their voters themselves, on virtual time, with losses and operators."""
