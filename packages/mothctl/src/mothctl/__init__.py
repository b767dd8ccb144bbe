"""Mothctl: operators query and command mothworks from the command line."""
