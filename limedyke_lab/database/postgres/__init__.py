"""PostgreSQL's protocol towards the clients of a stand-in member."""
