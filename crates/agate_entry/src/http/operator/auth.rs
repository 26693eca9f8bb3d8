//! Authentication of operators.

use agate_core::{CallerName, Findings};
use agate_settings::Secret;
use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderMap, StatusCode};
use subtle::ConstantTimeEq;

use crate::http::head;
use crate::http::reply::{self, Reply};

const OPERATOR: HeaderName = HeaderName::from_static("agate-operator");

/// Name of operators who give none.
const DEFAULT_OPERATOR: &str = "operator";

/// Checks the bearer token in constant time.
///
/// # Errors
///
/// Returns the response to send if the token is missing or wrong.
#[expect(
    clippy::result_large_err,
    reason = "the error is the response itself, sent at once"
)]
pub(crate) fn check(headers: &HeaderMap, token: &Secret) -> Result<(), Reply> {
    let presented = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    if bool::from(presented.ct_eq(token.expose().as_bytes())) {
        return Ok(());
    }
    let message = "send the operator token as `authorization: Bearer TOKEN`";
    Err(reply::problem(
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        message,
    ))
}

/// Returns the operator's name for the audit history.
pub(crate) fn operator_name(headers: &HeaderMap, findings: &mut Findings) -> String {
    let Some(value) = headers.get(&OPERATOR) else {
        return DEFAULT_OPERATOR.to_owned();
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    let name: Option<CallerName> = head::parse_at(OPERATOR.as_str(), &text, findings);
    name.map_or_else(String::new, String::from)
}
