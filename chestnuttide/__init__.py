"""A cluster scheduler for unlike workloads.

The package holds the parts that others can embed (``errors``, ``model``,
``config``, ``coordination``, ``queueing``, ``placement`` and ``routing``) and
the three programs built from them (``entry``, ``scheduler`` and ``cli``).
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
