"""The decision modules of all dispatchers that the simulator runs, by instance number."""

from __future__ import annotations

from hazelbend.benchlink.errors import InstanceFailedError, MalformedInputError
from hazelbend.benchlink.messages import Configure, Kill, Message
from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.interface import Action


class InstanceTable:
    """The instances by number. They share no state."""

    def __init__(self) -> None:
        """Create a table without instances."""
        self._instances: dict[int, Dispatcher] = {}

    def handle_batch(self, messages: list[tuple[int, Message]], now: int) -> list[tuple[int, list[Action]]]:
        """Pass each message to its instance, and return the actions in the order of the messages.

        `now`: the simulator's time, in microseconds.

        Raises:
            MalformedInputError: an event is for an instance that has not started, or was killed.
            InstanceFailedError: the decision module of an instance raised an exception.
        """
        groups: list[tuple[int, list[Action]]] = []
        for instance, message in messages:
            if isinstance(message, Configure):
                self._instances[instance] = Dispatcher(message.settings, message.seed)
            elif isinstance(message, Kill):
                self._instances.pop(instance, None)
                # The simulator drops the actions of a killed instance, also those of this batch.
                groups = [group for group in groups if group[0] != instance]
            elif instance not in self._instances:
                raise MalformedInputError(f"instance {instance}: an event before its settings")
            else:
                try:
                    actions = self._instances[instance].handle(message, now)
                except Exception as error:  # every exception of the module is reported to the simulator
                    raise InstanceFailedError(instance, error) from error
                if actions:
                    groups.append((instance, actions))
        return groups
