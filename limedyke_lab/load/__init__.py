"""Client sessions of the lab: psycopg connections that switch proxies and record a history."""
