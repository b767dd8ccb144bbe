"""Mothworks: serves many language models on fewer accelerators.

This package is the node, the one program that every VM runs. Its modules
are flat, one concept each; ``docs/DESIGN.md`` says how they work together.
"""

__version__ = "0.1.0"
