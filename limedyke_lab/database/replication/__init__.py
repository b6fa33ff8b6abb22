"""The log of a stand-in member, and how members follow, promise and promote."""
