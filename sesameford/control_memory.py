"""State that the tool stores next to a tree file, so that a resend is recognised."""

import os
from pathlib import Path
from secrets import token_hex

from msgspec import DecodeError, Struct, ValidationError, json

from sesameford.control_client import ControlError


class PendingChange(Struct, frozen=True):
    """A change that was sent and has not been answered yet."""

    change_id: str
    base_revision: int
    digest: str


class Memory(Struct, frozen=True):
    """The revision that the file was last applied as, and an unanswered change."""

    revision: int | None = None
    pending: PendingChange | None = None


_decoder = json.Decoder(Memory)


def memory_file(tree_file: Path) -> Path:
    """Return the path of the state file of a tree file."""
    return tree_file.with_name(f".{tree_file.name}.sesameford.json")


def read_memory(file: Path) -> Memory:
    """Return the stored state, or an empty one if there is no such file.

    Raises:
        ControlError: The file can't be read.
    """
    try:
        return _decoder.decode(file.read_bytes())
    except FileNotFoundError:
        return Memory()
    except (OSError, DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise ControlError(
            f"{file}: {error}; remove it if no change is under way", exit_code=2
        ) from error


def write_memory(file: Path, memory: Memory) -> None:
    """Write the state atomically, before the change is sent.

    A tool that is killed while it waits must find its change id again, or it would
    send the same change under another id and get a conflict with its own change.

    Raises:
        ControlError: The file can't be written; the change must not be sent then.
    """
    temporary = file.with_name(f"{file.name}.new")
    try:
        with temporary.open("wb") as stream:
            stream.write(json.encode(memory))
            stream.flush()
            os.fsync(stream.fileno())
        temporary.replace(file)
    except OSError as error:
        raise ControlError(f"{file}: {error}", exit_code=2) from error


def change_to_send(memory: Memory, digest: str, base_revision: int) -> PendingChange:
    """Return the change to send: the unanswered one if its tree is the same.

    Args:
        memory: The stored state.
        digest: The digest of the tree to declare.
        base_revision: The base revision of a new change.

    Returns:
        A change with its id.
    """
    if memory.pending is not None and memory.pending.digest == digest:
        return memory.pending
    return PendingChange(token_hex(12), base_revision, digest)
