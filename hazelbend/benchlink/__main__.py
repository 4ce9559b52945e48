"""`python -m hazelbend.benchlink`: many dispatchers on the simulator's protocol."""

import sys

from hazelbend.benchlink.event_loop import main

sys.exit(main())
