"""Stand-ins for the platform, for tests, demonstrations and scenarios.

The product never imports them. Each stand-in keeps its state in a module
without I/O and serves it over HTTP. ``GET /control`` returns what it has
observed and ``POST /control`` sets its faults.
"""
