//! Headers of callers' requests.

use std::str::FromStr;
use std::time::Duration;

use agate_core::{CallerName, ClassName, Findings, Key, TraceContext};
use http::HeaderMap;
use http::header::{CONTENT_TYPE, HeaderName};

use super::reply::TICKET;
use crate::urgent::{PriorSend, Ticket, TicketSigner};

const CALLER: HeaderName = HeaderName::from_static("agate-caller");
const DEADLINE: HeaderName = HeaderName::from_static("agate-deadline-ms");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TRACE: HeaderName = HeaderName::from_static("traceparent");

/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Caller name for requests without one.
const ANONYMOUS: &str = "anonymous";

/// Media type for requests without one.
const DEFAULT_MEDIA: &str = "application/octet-stream";

/// Parsed headers of a request.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) caller: CallerName,
    pub(crate) class: ClassName,
    /// The caller's time limit, if any.
    pub(crate) deadline: Option<Duration>,
    pub(crate) binding: Binding,
    pub(crate) media: String,
}

/// How a request is protected against running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Not protected.
    None,
    /// A key, which the log binds to an incarnation.
    Key(Key),
    /// A ticket, which names the incarnation.
    Ticket(Ticket),
}

/// Inputs for header validation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeadRules<'a> {
    pub(crate) signer: &'a TicketSigner,
    /// Wall clock in milliseconds since the Unix epoch.
    pub(crate) now: u64,
    /// Period for which keys are remembered.
    pub(crate) key_window: Duration,
}

/// Parses the headers of a request for `class` and collects every finding.
pub(crate) fn read(
    headers: &HeaderMap,
    class: &str,
    rules: HeadRules<'_>,
    findings: &mut Findings,
) -> Option<Head> {
    let class = parse_at("path.class", class, findings);
    let caller = read_caller(headers, findings);
    let deadline = read_deadline(headers, findings);
    let binding = read_binding(headers, rules, findings);
    let media = text(headers, &CONTENT_TYPE, findings).unwrap_or(DEFAULT_MEDIA);
    Some(Head {
        caller: caller?,
        class: class?,
        deadline,
        binding: binding?,
        media: media.to_owned(),
    })
}

/// Parses the caller's name.
pub(crate) fn read_caller(headers: &HeaderMap, findings: &mut Findings) -> Option<CallerName> {
    let name = text(headers, &CALLER, findings).unwrap_or(ANONYMOUS);
    parse_at(CALLER.as_str(), name, findings)
}

/// Parses the trace context. An invalid one is ignored, as W3C Trace Context requires.
pub(crate) fn read_trace(headers: &HeaderMap) -> Option<TraceContext> {
    headers.get(&TRACE)?.to_str().ok()?.parse().ok()
}

/// Returns whether the request's key may have been sent before; a request without a key never was.
pub(crate) fn prior_send(headers: &HeaderMap) -> PriorSend {
    if headers.contains_key(&KEY) || headers.contains_key(&TICKET) {
        PriorSend::Possible
    } else {
        PriorSend::Never
    }
}

fn read_deadline(headers: &HeaderMap, findings: &mut Findings) -> Option<Duration> {
    let text = text(headers, &DEADLINE, findings)?;
    match text.parse() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Some(Duration::from_millis(ms)),
        _ => {
            findings.add(
                DEADLINE.as_str(),
                format!(
                    "expected the milliseconds left, from 1 to {MAX_DEADLINE_MS}, found {text:?}"
                ),
            );
            None
        }
    }
}

fn read_binding(
    headers: &HeaderMap,
    rules: HeadRules<'_>,
    findings: &mut Findings,
) -> Option<Binding> {
    let key = text(headers, &KEY, findings);
    let ticket = text(headers, &TICKET, findings);
    match (key, ticket) {
        (None, None) => Some(Binding::None),
        (Some(key), None) => read_key(key, rules, findings).map(Binding::Key),
        (None, Some(ticket)) => {
            read_ticket(TICKET.as_str(), ticket, rules, findings).map(Binding::Ticket)
        }
        (Some(_), Some(_)) => {
            findings.add(
                KEY.as_str(),
                "send either a key or a ticket; a ticket has its own key",
            );
            None
        }
    }
}

fn read_key(text: &str, rules: HeadRules<'_>, findings: &mut Findings) -> Option<Key> {
    let key: Key = parse_at(KEY.as_str(), text, findings)?;
    if let Err(error) = key.check_age(rules.now, rules.key_window) {
        findings.add(KEY.as_str(), error.to_string());
        return None;
    }
    Some(key)
}

/// Parses and verifies the ticket found at `place`.
pub(crate) fn read_ticket(
    place: &str,
    text: &str,
    rules: HeadRules<'_>,
    findings: &mut Findings,
) -> Option<Ticket> {
    let ticket = match rules.signer.verify(text) {
        Ok(ticket) => ticket,
        Err(error) => {
            findings.add(place, error.to_string());
            return None;
        }
    };
    if let Err(error) = ticket.key.check_age(rules.now, rules.key_window) {
        findings.add(place, error.to_string());
        return None;
    }
    Some(ticket)
}

/// Parses the text found at `place`.
pub(crate) fn parse_at<T: FromStr<Err: ToString>>(
    place: &str,
    text: &str,
    findings: &mut Findings,
) -> Option<T> {
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add(place, format!("{}; found {text:?}", error.to_string()));
            None
        }
    }
}

/// Returns the value of a header that may appear only once.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName, findings: &mut Findings) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        findings.add(name.as_str(), "given more than once; give it once");
        return None;
    }
    let Ok(text) = value.to_str() else {
        findings.add(name.as_str(), "holds characters that are not visible ASCII");
        return None;
    };
    Some(text)
}
