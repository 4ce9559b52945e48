"""`python -m hazelbend`: one dispatcher."""

import sys

from hazelbend.program.app import main

sys.exit(main())
