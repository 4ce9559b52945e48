"""`python -m hazelbend.benchlink`: many dispatchers on the simulator's wire."""

import sys

from hazelbend.benchlink.drill import main

sys.exit(main())
