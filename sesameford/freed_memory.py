"""Has the C library give freed memory back to the system.

Its default keeps what is freed of large blocks for later ones, and learns to do so for
larger and larger ones. Pieces of bodies lie between other objects then, and after many
large bodies a process has twice the memory that it uses: more than its machine.
"""

import logging
from ctypes import CDLL

logger = logging.getLogger(__name__)

# Blocks of this size and more are mapped one by one, and unmapped as they are freed.
MAPPED_BLOCK_BYTES = 16_384
# The parameter's number in the C library's header.
_MMAP_THRESHOLD = -3


def give_freed_memory_back() -> None:
    """Map large blocks one by one; call this once, at the start of a process."""
    try:
        is_set = CDLL(None).mallopt(_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) == 1
    except (AttributeError, OSError) as error:
        # Other C libraries than GNU's lack it, and don't keep freed memory as long.
        logger.info("freed memory is kept as the C library does: %s", error)
        return
    if not is_set:
        logger.warning("freed memory is kept as the C library does")
