"""The link to the leading controller: state, leases and reports."""
