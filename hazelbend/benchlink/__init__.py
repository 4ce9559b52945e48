"""The link to the simulator: many dispatchers in one process, over the simulator's binary protocol.

The simulator writes batches of events to the standard input of this process, and reads batches of actions
from its standard output. Each dispatcher is an *instance*; instances share no state.

- `records`: codes and layouts of the protocol
- `messages`: messages that are not events of the decision module: an instance starts or ends
- `decoder`, `encoder`: bytes to events, actions to bytes
- `instances`: the decision modules by instance number
- `event_loop`: reads batches from standard input and writes replies to standard output
- `errors`: the exceptions of this package
"""
