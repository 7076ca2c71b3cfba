"""Published configuration: reading the platform, assembling and accepting sets."""
