"""Mark on the disk of an instance that took part in the deployment's first start."""

from pathlib import Path

from sesameford.log_files import replace_file

MARK_NAME = "founder"


def is_founder(folder: Path, founds: bool) -> bool:
    """Return whether this disk took part in the first start.

    A process may end in its first second, before the log is founded, and its settings
    may no longer declare the first start when it is back. Without the mark, the other
    founders would wait for it for ever, and no change would be accepted. A disk that is
    replaced later has no mark, so it founds nothing.

    Args:
        folder: The data folder.
        founds: Whether the settings say that the deployment starts for the first time.

    Returns:
        True at the first start and after it, as long as the disk is the same.

    Raises:
        StorageError: The mark can't be written.
    """
    mark = folder / MARK_NAME
    if founds and not mark.exists():
        folder.mkdir(parents=True, exist_ok=True)
        replace_file(mark, b"1\n")
    return mark.exists()
