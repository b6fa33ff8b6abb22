"""Settings of the processes; each process imports only the modules it needs."""
