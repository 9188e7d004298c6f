"""Scenarios that prove promises on a running cell."""

import pytest

# Shared steps are imported by test modules, so their assertions explain
# themselves only when they are named here.
pytest.register_assert_rewrite("features._requests_steps")
