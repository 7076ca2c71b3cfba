"""Decisions about work under load; no input, output, threads or clocks."""
