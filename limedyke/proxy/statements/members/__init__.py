"""Connections to members: lent, queued for, asked questions on."""
