"""Exchange of revisions, documents, members and load between nodes."""
