"""Remembers on the disk that its instance was there when the deployment began."""

from pathlib import Path

from sesameford.log_files import replace_file

MARK_NAME = "founder"


def is_founder(folder: Path, founds: bool) -> bool:
    """Return whether this disk belongs to one of the first start.

    A process may end in its first second, before the log is founded, and its settings
    speak of the first start no more when it is back. If it forgot, the others would
    wait for it for ever, and no change would be accepted. A disk that is replaced
    later has no mark, so it founds nothing.

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
