"""`python -m hazelbend`: one dispatcher. With words behind it: a command, see `--help`."""

import sys
from typing import Any, cast

# No TLS is spoken here. Loading it is a third of the time that a restart takes, in which clients may have
# nobody to go to, and 4 MB; asyncio and aiohttp do without where it is missing.
cast(dict[str, Any], sys.modules)["ssl"] = None

if len(sys.argv) > 1:
    from hazelbend.cli.main import main as command

    command()
else:
    from hazelbend.dispatcher.app import main

    sys.exit(main())
