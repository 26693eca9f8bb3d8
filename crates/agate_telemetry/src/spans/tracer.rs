//! Creation and export of spans.

use agate_core::{Incarnation, TraceContext};
use displaydoc::Display;
use opentelemetry::trace::{
    SpanContext, SpanId, TraceContextExt as _, TraceFlags, TraceId, TraceState, Tracer as _,
    TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::runtime::Tokio;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};

use super::{Hop, HopSpan};

/// the span exporter for {endpoint} could not be set up: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct TracerError {
    /// URL of the OTLP endpoint.
    pub endpoint: String,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for TracerError {}

/// Creates spans and, if an endpoint is set, exports them over OTLP.
#[derive(Debug, Clone)]
pub struct Tracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// Creates a tracer that exports nothing. Trace contexts are still propagated.
    pub fn without_export(service: &'static str) -> Self {
        Self::from_provider(service, SdkTracerProvider::builder().build())
    }

    /// Creates a tracer that exports to the OTLP endpoint at the URL `endpoint`, in JSON over HTTP.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is not a URL.
    pub fn exporting(
        service: &'static str,
        instance: Incarnation,
        endpoint: &str,
    ) -> Result<Self, TracerError> {
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(format!("{}/v1/traces", endpoint.trim_end_matches('/')))
            .build()
            .map_err(|error| TracerError {
                endpoint: endpoint.to_owned(),
                cause: error.to_string(),
            })?;
        let resource = Resource::builder()
            .with_service_name(service)
            .with_attribute(KeyValue::new("service.instance.id", instance.to_string()))
            .build();
        let processor = BatchSpanProcessor::builder(exporter, Tokio).build();
        let provider = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_span_processor(processor)
            .build();
        Ok(Self::from_provider(service, provider))
    }

    fn from_provider(service: &'static str, provider: SdkTracerProvider) -> Self {
        let tracer = provider.tracer(service);
        Self { provider, tracer }
    }

    /// Starts the span of a hop, in a new trace if there is no parent.
    pub fn start(&self, hop: Hop, parent: Option<TraceContext>) -> HopSpan {
        let parent = parent.map_or_else(Context::new, |parent| {
            Context::new().with_remote_span_context(to_span_context(parent))
        });
        let builder = self.tracer.span_builder(hop.name()).with_kind(hop.kind());
        HopSpan::new(self.tracer.build_with_context(builder, &parent))
    }

    /// Exports the remaining spans and stops the exporter. Spans that end later are lost.
    pub async fn shutdown(self) {
        let result = tokio::task::spawn_blocking(move || self.provider.shutdown()).await;
        if let Ok(Err(error)) = result {
            log::warn!(event = "spans_lost", cause:% = error; "failed to export the last spans");
        }
    }
}

fn to_span_context(context: TraceContext) -> SpanContext {
    let flags = if context.sampled {
        TraceFlags::SAMPLED
    } else {
        TraceFlags::default()
    };
    SpanContext::new(
        TraceId::from_bytes(context.trace.to_be_bytes()),
        SpanId::from_bytes(context.span.to_be_bytes()),
        flags,
        true,
        TraceState::default(),
    )
}
