"""Runs the node: ``python -m mothworks --settings FILE``."""

from mothworks import cli

if __name__ == "__main__":
    cli.main()
