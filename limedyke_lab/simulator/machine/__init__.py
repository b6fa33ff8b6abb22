"""What simulated processes run on: virtual time, network, sockets, disk."""
