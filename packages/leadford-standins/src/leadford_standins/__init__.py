"""Small stand-ins of what leadford meets outside: store, engines, services, hosts."""
