"""Renews the generated parts of the pages."""

import docs_tools

for name in docs_tools.renew():
    print(f"renewed docs/{name}")
