"""Decides whether the output of an item is longer than an engine may make it.

Workload: an engine in trouble sends valid events without end to each of its items. The
item's token limit bounds their number and size, with room for engines that count tokens
differently. Whatever the tokens allow, the text has to fit into one write to the store,
and the texts of all items into the host's memory.
"""

from goldcrestmoor.adapters.group_commit import MAX_BYTES
from goldcrestmoor.job.job_store import ENTRY_OVERHEAD_BYTES

# Engines send at most one event a token, if they count tokens as the submitter does.
MAX_EVENTS_PER_TOKEN = 4
# The longest tokens of common vocabularies have 128 bytes.
MAX_TOKEN_BYTES = 256
# The output is written in one transaction, in which each event is encoded by itself.
EVENT_OVERHEAD_BYTES = 5
MAX_OUTPUT_BYTES = MAX_BYTES - ENTRY_OVERHEAD_BYTES


class OutputLimit:
    """The limits of the output of a host's items.

    :param memory: the
        :class:`~goldcrestmoor.connection.response_memory.ResponseMemory` of the host.
    """

    __slots__ = ("_memory",)

    def __init__(self, memory):
        self._memory = memory

    def excess(self, run):
        """Return why an item's output so far can't be kept, or an empty string.

        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`.
        """
        tokens, events = run.item.tokens, len(run.events)
        if tokens and events > MAX_EVENTS_PER_TOKEN * tokens:
            return f"{events} events are too many for {tokens} tokens"
        max_bytes = MAX_OUTPUT_BYTES - EVENT_OVERHEAD_BYTES * events
        if tokens:
            max_bytes = min(max_bytes, MAX_TOKEN_BYTES * tokens)
        if run.text_bytes > max_bytes:
            return f"its {run.text_bytes} bytes are more than {max_bytes}"
        if not self._memory.has_room(run.held_bytes):
            return f"this host has no memory for its {run.held_bytes} bytes"
        return ""
