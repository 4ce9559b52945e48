"""`python -m hazelbend` runs one dispatcher. With arguments it runs a command; see `--help`."""

import sys
from typing import Any, cast

# The dispatcher does not use TLS. Loading it takes 4 MB and a third of the time of a restart, during which
# clients may have no dispatcher. asyncio and aiohttp work without it if it is missing.
cast(dict[str, Any], sys.modules)["ssl"] = None

if len(sys.argv) > 1:
    from hazelbend.cli.main import main as command

    command()
else:
    from hazelbend.dispatcher.app import main

    sys.exit(main())
