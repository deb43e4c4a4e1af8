"""What a process has freed goes back to the system."""

import subprocess
import sys

import pytest

BLOCKS = 2_000
BLOCK_BYTES = 60_000
MAX_KEPT_BYTES = BLOCKS * BLOCK_BYTES // 4
# Small objects stay between the large blocks, as in a program that goes on.
PROGRAM = f"""
from os import sysconf
from sesameford.freed_memory import give_freed_memory_back

def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * sysconf("SC_PAGE_SIZE")

GIVES_BACK and give_freed_memory_back()
before_bytes = resident_bytes()
blocks = [(bytearray({BLOCK_BYTES}), bytearray(600)) for _ in range({BLOCKS})]
kept = [small for _, small in blocks]
del blocks
print(resident_bytes() - before_bytes)
"""


def kept_bytes(gives_back):
    program = PROGRAM.replace("GIVES_BACK", str(gives_back))
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    return int(done.stdout)


@pytest.mark.skipif(sys.platform != "linux", reason="needs /proc")
def test_large_blocks_between_small_ones_are_given_back():
    """Guards against memory that is freed and stays with the process."""
    assert kept_bytes(gives_back=True) < MAX_KEPT_BYTES < kept_bytes(gives_back=False)
