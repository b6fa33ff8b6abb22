"""Client connections of the statement proxy: codec, admission, serving and session end."""
