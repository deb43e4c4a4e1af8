"""Carries out a replica's effects, with the syncs in a separate thread.

Decisions run on the event loop's thread. Only writes and syncs run on the other
thread, one job at a time, because a sync takes milliseconds, which would stall the
streams to callers.
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
        now: Returns the current time in seconds.
        on_failure: Called once with the failure; nothing is flushed after it.
        in_thread: Whether a thread does the syncs.
    """

    def __init__(
        self,
        replica: Replica,
        now: Callable[[], float],
        on_failure: Callable[[LogError], None],
        in_thread: bool,
    ) -> None:
        self._replica = replica
        self._now = now
        self._on_failure = on_failure
        self._executor = ThreadPoolExecutor(1, "log") if in_thread else None
        self._is_scheduled = False
        self._job: Future[None] | None = None
        self._stopped = False

    def schedule_flush(self) -> None:
        """Flush after the events that are ready now, so that they share one sync.

        Without a running loop, in a test in virtual time, this flushes at once.
        """
        if self._is_scheduled or self._job or self._stopped:
            return
        try:
            loop = get_running_loop()
        except RuntimeError:
            self.flush_inline()
            return
        self._is_scheduled = True
        loop.call_soon(self._start_job)

    def flush_inline(self) -> None:
        """Flush on the calling thread until nothing is left to do."""
        try:
            while self._replica.flush(self._now()):
                pass
        except LogError as error:
            self.fail(error)

    def fail(self, error: LogError) -> None:
        """Stop flushing for good: the content of the disk is unknown."""
        self._stopped = True
        self._on_failure(error)

    async def stop(self) -> None:
        """Wait for the running job and start no other."""
        self._stopped = True
        if self._job is not None:
            await wait([self._job])
        if self._executor is not None:
            self._executor.shutdown()

    def _start_job(self) -> None:
        """Start the next flush job."""
        self._is_scheduled = False
        if self._stopped or self._job is not None:
            return
        if self._executor is None:
            self.flush_inline()
            return
        job = self._replica.begin_flush(self._now())
        if job is None:
            return
        if not job.needs_disk:
            self._finish_job(job)
            return
        self._job = get_running_loop().run_in_executor(
            self._executor, self._replica.persist, job
        )
        self._job.add_done_callback(lambda done: self._handle_persisted(job, done))

    def _handle_persisted(self, job: FlushJob, done: Future[None]) -> None:
        """Finish a job that the thread has persisted."""
        self._job = None
        error = done.exception()
        if isinstance(error, LogError):
            self.fail(error)
            return
        if error is not None:
            raise error
        self._finish_job(job)

    def _finish_job(self, job: FlushJob) -> None:
        """Send and apply what waited for a job, and schedule the next flush."""
        try:
            self._replica.finish_flush(job, self._now())
        except LogError as error:
            self.fail(error)
        self.schedule_flush()
