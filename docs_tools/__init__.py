"""Generators and checks of the documentation pages.

``python -m docs_tools`` renews the generated parts of the pages.
"""

from docs_tools import _catalogue
from docs_tools import _imports
from docs_tools import _pages
from docs_tools import _references

Block = _pages.Block
DOCS = _pages.DOCS
LIBRARY_PACKAGES = _imports.LIBRARY_PACKAGES
ROOT = _pages.ROOT
code_blocks = _pages.code_blocks
exit_codes = _catalogue.exit_codes
first_column = _pages.first_column
forbidden_imports = _imports.forbidden_imports
generated_part = _pages.generated_part
label_values = _catalogue.label_values
log_prefixes = _catalogue.log_prefixes
metric_names = _catalogue.metric_names
read_page = _pages.read_page
REFERENCES = _references.REFERENCES
renew = _references.renew
replace_generated = _pages.replace_generated

__all__ = [
    "Block",
    "DOCS",
    "LIBRARY_PACKAGES",
    "REFERENCES",
    "ROOT",
    "code_blocks",
    "exit_codes",
    "first_column",
    "forbidden_imports",
    "generated_part",
    "label_values",
    "log_prefixes",
    "metric_names",
    "read_page",
    "renew",
    "replace_generated",
]
