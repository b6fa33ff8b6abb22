"""The ``limedyke`` command: starts the processes and sends operator requests to controllers."""
