"""The ``limedyke`` command: starts the processes, and speaks to controllers for operators."""
