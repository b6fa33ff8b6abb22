"""Units of work that run at another proxy: both ends of the links between proxies."""
