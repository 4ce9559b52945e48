"""The link to the simulator: many dispatchers in one process, on the simulator's binary protocol.

The simulator writes batches of events on standard input and reads batches of actions on standard output.
Each dispatcher is an *instance*; instances share nothing.

- `records`: codes and layouts of the protocol
- `messages`: decoded events that the decision module does not know: an instance begins or ends
- `decoder`, `encoder`: bytes to events, actions to bytes
- `instances`: the decision modules by instance number
- `event_loop`: standard input to standard output
- `errors`: what goes wrong
"""
