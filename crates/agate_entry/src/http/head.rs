//! Headers of a caller's request.

use std::str::FromStr;
use std::time::Duration;

use agate_core::{CallerName, ClassName, Findings, Key, TraceContext};
use http::HeaderMap;
use http::header::{CONTENT_TYPE, HeaderName};

use super::reply::TICKET;
use crate::urgent::{Sent, Ticket, TicketSigner};

const CALLER: HeaderName = HeaderName::from_static("agate-caller");
const DEADLINE: HeaderName = HeaderName::from_static("agate-deadline-ms");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TRACE: HeaderName = HeaderName::from_static("traceparent");

/// Longest time that a caller may ask for.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Caller of a request that names none.
const ANONYMOUS: &str = "anonymous";

/// Media type of a request that names none.
const OCTETS: &str = "application/octet-stream";

/// What the headers of a request say.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) caller: CallerName,
    pub(crate) class: ClassName,
    /// Time allowed, if the caller names one.
    pub(crate) deadline: Option<Duration>,
    pub(crate) binding: Binding,
    pub(crate) media: String,
}

/// How the caller protects a request against running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Not at all.
    None,
    /// By a key, which the log binds.
    Key(Key),
    /// By a ticket, which names the incarnation.
    Ticket(Ticket),
}

/// What is needed to check headers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeadRules<'a> {
    pub(crate) signer: &'a TicketSigner,
    /// Wall clock in milliseconds since the Unix epoch.
    pub(crate) now: u64,
    /// Time for which keys are remembered.
    pub(crate) window: Duration,
}

/// Reads the headers of a request for class `class` and collects every problem.
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
    let media = text(headers, &CONTENT_TYPE, findings).unwrap_or(OCTETS);
    Some(Head {
        caller: caller?,
        class: class?,
        deadline,
        binding: binding?,
        media: media.to_owned(),
    })
}

/// Reads who sent the request.
pub(crate) fn read_caller(headers: &HeaderMap, findings: &mut Findings) -> Option<CallerName> {
    let name = text(headers, &CALLER, findings).unwrap_or(ANONYMOUS);
    parse_at(CALLER.as_str(), name, findings)
}

/// Reads the trace that the request belongs to. One that can't be read is ignored, as W3C Trace
/// Context asks for.
pub(crate) fn read_trace(headers: &HeaderMap) -> Option<TraceContext> {
    headers.get(&TRACE)?.to_str().ok()?.parse().ok()
}

/// Whether the request brings a key, which may have been sent before.
pub(crate) fn sent(headers: &HeaderMap) -> Sent {
    if headers.contains_key(&KEY) || headers.contains_key(&TICKET) {
        Sent::Maybe
    } else {
        Sent::First
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
    if let Err(error) = key.check_age(rules.now, rules.window) {
        findings.add(KEY.as_str(), error.to_string());
        return None;
    }
    Some(key)
}

/// Reads a ticket found at `place`.
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
    if let Err(error) = ticket.key.check_age(rules.now, rules.window) {
        findings.add(place, error.to_string());
        return None;
    }
    Some(ticket)
}

/// Parses `text`, found at `place`.
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

/// The text of a header that may be given once.
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
