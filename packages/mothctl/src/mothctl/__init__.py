"""Mothctl: the operators' command line of mothworks."""
