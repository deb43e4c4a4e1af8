"""Carries out a replica's effects, with the syncs in a thread of their own.

Decisions run on the loop's thread. Only writing and syncing run on another, one
job at a time, because a sync on a disk takes milliseconds in which streams to
callers would stand still.
"""

from asyncio import Future, get_running_loop, wait
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sesameford.errors import LogError
from sesameford.log_replica import FlushJob, Replica


class Flusher:
    """Flushes one replica until its disk or its log fails.

    Args:
        replica: The replica.
        now: The present time in seconds.
        failed: Called once with the failure; nothing is flushed after it.
        in_thread: Whether a thread does the syncs.
    """

    def __init__(
        self,
        replica: Replica,
        now: Callable[[], float],
        failed: Callable[[LogError], None],
        in_thread: bool,
    ) -> None:
        self._replica = replica
        self._now = now
        self._failed = failed
        self._executor = ThreadPoolExecutor(1, "log") if in_thread else None
        self._is_due = False
        self._job: Future[None] | None = None
        self._stopped = False

    def flush_soon(self) -> None:
        """Flush once the loop has taken all that is there, so that one sync serves.

        Without a running loop, in a test in virtual time, flush here.
        """
        if self._is_due or self._job or self._stopped:
            return
        try:
            loop = get_running_loop()
        except RuntimeError:
            self.flush_here()
            return
        self._is_due = True
        loop.call_soon(self._begin)

    def flush_here(self) -> None:
        """Flush on this thread until nothing is left to do."""
        try:
            while self._replica.flush(self._now()):
                pass
        except LogError as error:
            self.fail(error)

    def fail(self, error: LogError) -> None:
        """Flush nothing any more: what the disk holds is not known."""
        self._stopped = True
        self._failed(error)

    async def stop(self) -> None:
        """Finish the job under way and begin no other."""
        self._stopped = True
        if self._job is not None:
            await wait([self._job])
        if self._executor is not None:
            self._executor.shutdown()

    def _begin(self) -> None:
        """Begin a job of the disk."""
        self._is_due = False
        if self._stopped or self._job is not None:
            return
        if self._executor is None:
            self.flush_here()
            return
        job = self._replica.begin_flush(self._now())
        if job is None:
            return
        if not job.needs_disk:
            self._finish(job)
            return
        self._job = get_running_loop().run_in_executor(
            self._executor, self._replica.persist, job
        )
        self._job.add_done_callback(lambda done: self._done(job, done))

    def _done(self, job: FlushJob, done: Future[None]) -> None:
        """Finish a job that the thread has persisted, and begin the next."""
        self._job = None
        error = done.exception()
        if isinstance(error, LogError):
            self.fail(error)
            return
        if error is not None:
            raise error
        self._finish(job)

    def _finish(self, job: FlushJob) -> None:
        """Send and apply what waited for a job."""
        try:
            self._replica.finish_flush(job, self._now())
        except LogError as error:
            self.fail(error)
        self.flush_soon()
