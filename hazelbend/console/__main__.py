"""`python -m hazelbend.console`: the terminal console."""

import sys

from hazelbend.console.client import main

sys.exit(main())
