"""OpenTelemetry spans for each hop, with W3C trace context."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import context as otel_context
from opentelemetry import propagate, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling

if TYPE_CHECKING:
    import contextlib
    from collections.abc import Mapping

_tracer = trace.get_tracer("wisterialug")


def install(vm: str, exporter: str, sample_ratio: float) -> None:
    """Sets up the tracer for the process."""
    global _tracer  # noqa: PLW0603 - set once at start
    if exporter == "none":
        return
    provider = sdk_trace.TracerProvider(
        sampler=sampling.ParentBasedTraceIdRatio(sample_ratio),
        resource=resources.Resource({"service.name": "wisterialugd", "vm": vm}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(
        export.SimpleSpanProcessor(
            export.ConsoleSpanExporter(
                formatter=lambda span: span.to_json(indent=None) + "\n"
            )
        )
    )
    trace.set_tracer_provider(provider)
    _tracer = provider.get_tracer("wisterialug")


def current() -> otel_context.Context:
    """Returns the context to pass to another greenlet."""
    return otel_context.get_current()


def span(
    name: str,
    headers: Mapping[str, str] | None = None,
    context: otel_context.Context | None = None,
) -> contextlib.AbstractContextManager[trace.Span]:
    """Opens a child of the current span.

    Args:
      name: Name of the span.
      headers: Headers whose trace context is the parent, if given.
      context: Context whose span is the parent, if given.
    """
    if headers is not None:
        context = propagate.extract(headers)
    return _tracer.start_as_current_span(name, context=context)


def outgoing_headers() -> dict[str, str]:
    """Returns the trace context headers of the current span."""
    headers: dict[str, str] = {}
    propagate.inject(headers)
    return headers
