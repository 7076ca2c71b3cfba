"""Node of a mesh: serves the callers of one machine and its endpoint."""
