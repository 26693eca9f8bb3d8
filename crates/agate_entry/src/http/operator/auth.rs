//! The token that operators present, and the name that they give.

use agate_core::{CallerName, Findings};
use agate_settings::Secret;
use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderMap, StatusCode};
use subtle::ConstantTimeEq;

use crate::http::head;
use crate::http::reply::{self, Reply};

const OPERATOR: HeaderName = HeaderName::from_static("agate-operator");

/// Name of an operator who gives none.
const UNNAMED: &str = "operator";

/// Checks the bearer token in time that does not depend on where it differs.
///
/// # Errors
///
/// Returns the response to send if the token is missing or wrong.
#[expect(
    clippy::result_large_err,
    reason = "the error is the response itself, sent at once"
)]
pub(crate) fn check(headers: &HeaderMap, token: &Secret) -> Result<(), Reply> {
    let given = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    if bool::from(given.ct_eq(token.expose().as_bytes())) {
        return Ok(());
    }
    let message = "send the operator token as `authorization: Bearer TOKEN`";
    Err(reply::problem(
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        message,
    ))
}

/// Reads who the operator is, for the history.
pub(crate) fn operator(headers: &HeaderMap, findings: &mut Findings) -> String {
    let Some(value) = headers.get(&OPERATOR) else {
        return UNNAMED.to_owned();
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    let name: Option<CallerName> = head::parse_at(OPERATOR.as_str(), &text, findings);
    name.map_or_else(String::new, String::from)
}
