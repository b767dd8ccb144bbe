"""Entry point of the operators' command line: ``python -m mothctl``."""

from mothctl import cli

if __name__ == "__main__":
    cli.main()
