"""Mothworks: serves many language models on a smaller number of accelerators.

This package is the node, the process that every VM runs. It has no
subpackages, and each module covers one concept; ``docs/DESIGN.md`` describes
how the modules work together.
"""

__version__ = "0.1.0"
