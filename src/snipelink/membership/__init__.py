"""Membership table of the fleet."""
