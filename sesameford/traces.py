"""Tracing with a span for each step: accept, wait, dispatch, target, relay."""

from collections.abc import Sequence
from pathlib import Path

from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Tracer
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from sesameford.settings import DaemonSettings

propagator = TraceContextTextMapPropagator()


class FileSpanExporter(SpanExporter):
    """Appends each span as one line of JSON to a file."""

    def __init__(self, file: Path) -> None:
        self._stream = file.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write finished spans."""
        for span in spans:
            self._stream.write(span.to_json(indent=None) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._stream.close()


def make_tracer_provider(settings: DaemonSettings) -> TracerProvider:
    """Return a provider with the exporters of the settings.

    Args:
        settings: Settings with a file, an OTLP address, both or neither.

    Returns:
        A provider; its ``shutdown`` exports the spans that are still buffered.
    """
    resource = Resource.create(
        {
            "service.name": "sesameford",
            "service.instance.id": settings.instance_id,
            "cloud.availability_zone": settings.data_centre,
        }
    )
    provider = TracerProvider(resource=resource)
    if settings.tracing.file:
        exporter = FileSpanExporter(Path(settings.tracing.file))
        provider.add_span_processor(BatchSpanProcessor(exporter))
    if settings.tracing.otlp_url:
        otlp = OTLPSpanExporter(endpoint=settings.tracing.otlp_url)
        provider.add_span_processor(BatchSpanProcessor(otlp))
    return provider


def make_tracer(provider: TracerProvider) -> Tracer:
    """Return the project's tracer."""
    return provider.get_tracer("sesameford")
