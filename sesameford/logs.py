"""Structured logs: one JSON object per line, with the ids of the current request."""

import logging
from contextvars import ContextVar
from datetime import UTC, datetime

from msgspec.json import encode

from sesameford.settings import DaemonSettings

# Ids of the request being served; added to each record logged in its context.
log_context: ContextVar[dict[str, str] | None] = ContextVar("log_context", default=None)

_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats records as JSON with the ids of the instance."""

    def __init__(self, instance_id: str, data_centre: str) -> None:
        super().__init__()
        self._fixed = {"instance": instance_id, "data_centre": data_centre}

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        at = datetime.fromtimestamp(record.created, UTC)
        fields: dict[str, object] = {
            "at": at.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            **self._fixed,
            **(log_context.get() or {}),
        }
        extras = {k: v for k, v in vars(record).items() if k not in _RESERVED}
        fields.update({key: str(value) for key, value in extras.items()})
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return encode(fields).decode()


def configure_logging(settings: DaemonSettings, handler: logging.Handler) -> None:
    """Send all records to a handler in the format of the settings.

    Args:
        settings: The settings of the daemon.
        handler: Writes the records.
    """
    if settings.logging.format == "json":
        handler.setFormatter(JsonFormatter(settings.instance_id, settings.data_centre))
    else:
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s")
        )
    logging.basicConfig(level=settings.logging.level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
