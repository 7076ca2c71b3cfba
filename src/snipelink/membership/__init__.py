"""Table of the members of the fleet."""
