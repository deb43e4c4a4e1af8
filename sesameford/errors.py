"""The exception hierarchy: each layer converts the errors of the layer below."""


class SesamefordError(Exception):
    """Base class of all errors that this project raises."""


class SettingsError(SesamefordError):
    """The daemon's settings file is invalid.

    Args:
        source: The file with the invalid field.
        path: The path of the field, such as ``listen.callers.port``.
        found: A description of the invalid value.
        allowed: A description of the allowed values.
    """

    def __init__(self, source: str, path: str, found: str, allowed: str) -> None:
        super().__init__(f"{source}: {path}: found {found}; allowed: {allowed}")
        self.source = source
        self.path = path
        self.found = found
        self.allowed = allowed


class TreeError(SettingsError):
    """A declared tree of settings is invalid; no part of it is applied."""


class OutcomeError(SesamefordError):
    """A request ended without a complete answer."""


class NotRunError(OutcomeError):
    """Nothing of the request reached a target.

    Args:
        reason: A short, stable identifier for programs, such as ``queue-full``.
        detail: A sentence for people.
        status: The HTTP status code for the caller.
        retry_after_seconds: Seconds until a retry makes sense, or None if unknown.
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
    """The request may have run; its answer is lost or incomplete.

    Args:
        reason: A short, stable identifier for programs, such as ``target-lost``.
        detail: A sentence for people.
        status: The HTTP status code for the caller.
    """

    def __init__(self, reason: str, detail: str, status: int = 502) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status


class PeerError(SesamefordError):
    """A message between instances could not be decoded, sent or authenticated."""


class NotReplicatedError(SesamefordError):
    """No other replica has acknowledged what a target stated."""


class LogError(SesamefordError):
    """The replicated log refused a command or failed."""


class NoQuorumError(LogError):
    """No majority of replicas answers, so no command can be committed."""


class ProposalRefusedError(LogError):
    """A proposal can never be accepted, for example because its id was used before."""


class StorageError(LogError):
    """The data folder is corrupt or can't be written.

    Args:
        file: The file with the fault.
        offset_bytes: The offset of the fault in the file.
        detail: A description of the fault.
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
        failure: The kind of failure, a value of `sesameford.retries.Failure`.
        retry_after_seconds: For how long the target accepts no further requests of this
            router, None if it did not state a time.
    """

    def __init__(
        self,
        detail: str,
        failure: str = "",
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.failure = failure
        self.retry_after_seconds = retry_after_seconds


class TargetRefusedError(TargetError):
    """The target provably did not start the request."""


class TargetLostError(TargetError):
    """The connection to the target failed after the request was sent."""
