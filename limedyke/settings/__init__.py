"""Settings of the processes; each process loads only the modules it needs."""
