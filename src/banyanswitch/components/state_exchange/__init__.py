"""Exchange of upstream and table state between instances."""
