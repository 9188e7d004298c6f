"""Stand-ins for the platform, for tests, demonstrations and scenarios.

The product never imports them. Each stand-in keeps its state in a pure module
and serves it by HTTP; ``GET /control`` returns its evidence and
``POST /control`` sets its faults.
"""
