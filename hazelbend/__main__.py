"""`python -m hazelbend`: one dispatcher."""

import os
import sys

# No TLS is spoken here, but aiohttp reads all root certificates when it is imported: a fifth of the time that
# a restart takes, in which clients may have nobody to go to.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from hazelbend.program.app import main  # noqa: E402

sys.exit(main())
