"""The entry and agent processes: sockets, clocks and tasks around the decisions."""
