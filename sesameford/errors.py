"""The exception tree: each layer has its own branch and turns those from below."""


class SesamefordError(Exception):
    """Base of every error that this project raises on purpose."""


class SettingsError(SesamefordError):
    """The daemon's settings file is unusable.

    Args:
        source: The file that holds the fault.
        path: The path of the field, such as ``listen.callers.port``.
        found: What was found there.
        allowed: What would be accepted.
    """

    def __init__(self, source: str, path: str, found: str, allowed: str) -> None:
        super().__init__(f"{source}: {path}: found {found}; allowed: {allowed}")
        self.source = source
        self.path = path
        self.found = found
        self.allowed = allowed


class TreeError(SettingsError):
    """A declared tree of settings is unusable; nothing of it is taken over."""


class OutcomeError(SesamefordError):
    """A request ended without a complete answer."""


class NotRunError(OutcomeError):
    """Nothing of the request reached a target.

    Args:
        reason: A short, stable word for programs, such as ``queue-full``.
        detail: A sentence for people.
        status: The HTTP status code for the caller.
        retry_after_seconds: When a new try makes sense, where that is known.
    """

    def __init__(
        self,
        reason: str,
        detail: str,
        status: int = 503,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status
        self.retry_after_seconds = retry_after_seconds


class UnknownOutcomeError(OutcomeError):
    """The request may have run; its answer is lost or cut.

    Args:
        reason: A short, stable word for programs, such as ``target-lost``.
        detail: A sentence for people.
        status: The HTTP status code for the caller.
    """

    def __init__(self, reason: str, detail: str, status: int = 502) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status


class PeerError(SesamefordError):
    """A message between instances could not be read, sent or trusted."""


class LogError(SesamefordError):
    """The replicated log refuses or fails."""


class NoQuorumError(LogError):
    """No majority of replicas answers, so nothing can be agreed."""


class ProposalRefusedError(LogError):
    """A proposal can never be accepted, such as under an id used before."""


class StorageError(LogError):
    """The data folder can't be trusted or written.

    Args:
        file: The file with the fault.
        offset_bytes: Where in the file.
        detail: What is wrong there.
    """

    def __init__(self, file: str, offset_bytes: int, detail: str) -> None:
        super().__init__(f"{file}: offset {offset_bytes}: {detail}")
        self.file = file
        self.offset_bytes = offset_bytes
        self.detail = detail


class TargetError(SesamefordError):
    """A target could not be reached or broke its protocol.

    Args:
        detail: A sentence for people.
        failure: How it failed, a word of `sesameford.retries.Failure`.
    """

    def __init__(self, detail: str, failure: str = "") -> None:
        super().__init__(detail)
        self.failure = failure


class TargetRefusedError(TargetError):
    """The target provably did not start the request."""


class TargetLostError(TargetError):
    """The exchange with the target broke after the request was sent."""
