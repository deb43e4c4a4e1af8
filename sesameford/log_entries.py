"""The part of the log that a replica has in memory."""

from collections.abc import Iterable

from sesameford.log_messages import Configuration, Entry

# What a message adds to the command of an entry, roughly.
ENTRY_OVERHEAD_BYTES = 64


class LogEntries:
    """Entries after a base index, up to which a snapshot covers the log.

    Args:
        base_index: The last index whose entry is not in memory.
        base_term: The term of that index.
        base_configuration: The configuration in force at that index.
        entries: The entries after it, without gaps.
    """

    def __init__(
        self,
        base_index: int,
        base_term: int,
        base_configuration: Configuration | None,
        entries: Iterable[Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._configurations: list[tuple[int, Configuration]] = []
        if base_configuration is not None:
            self._configurations.append((base_index, base_configuration))
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, committed or not."""
        return self._configurations[-1][1] if self._configurations else None

    @property
    def configuration_index(self) -> int:
        """The index of the newest configuration."""
        return self._configurations[-1][0] if self._configurations else 0

    def configuration_at(self, index: int) -> Configuration | None:
        """Return the configuration in force at an index."""
        for at_index, configuration in reversed(self._configurations):
            if at_index <= index:
                return configuration
        return None

    def term_at(self, index: int) -> int | None:
        """Return the term of an index, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        self._entries.append(entry)
        if isinstance(entry.content, Configuration):
            self._configurations.append((entry.index, entry.content))

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all after it."""
        del self._entries[index - self.base_index - 1 :]
        while self._configurations and self._configurations[-1][0] >= index:
            self._configurations.pop()

    def between(
        self, first_index: int, last_index: int, limit_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return the entries of a range, both ends included.

        Args:
            first_index: The first index; must be in memory.
            last_index: The last index.
            limit_bytes: Maximum total size; the first entry is returned in any case.
        """
        first = first_index - self.base_index - 1
        found = self._entries[first : last_index - self.base_index]
        if limit_bytes is None:
            return tuple(found)
        size_bytes = 0
        for position, entry in enumerate(found):
            size_bytes += entry_size_bytes(entry)
            if position and size_bytes > limit_bytes:
                return tuple(found[:position])
        return tuple(found)

    def index_before(self, last_index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index after which as many entries follow as the bounds allow.

        Args:
            last_index: The last of these entries.
            max_entries: Their number at most.
            max_bytes: Their total size at most.
        """
        index = last_index
        size_bytes = 0
        while index > max(self.base_index, last_index - max_entries):
            size_bytes += entry_size_bytes(self._entries[index - self.base_index - 1])
            if size_bytes > max_bytes:
                break
            index -= 1
        return index

    def compact(self, index: int) -> None:
        """Move the base up to an index that a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        configuration = self.configuration_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        later = [pair for pair in self._configurations if pair[0] > index]
        earlier = [(index, configuration)] if configuration else []
        self._configurations = earlier + later


def entry_size_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry in a message."""
    command = getattr(entry.content, "command", b"")
    return len(command) + ENTRY_OVERHEAD_BYTES
