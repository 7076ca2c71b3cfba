"""Gossip of revisions, documents, members and load reports between nodes."""
