//! The token that operators present.

use agate_settings::Secret;
use http::header::AUTHORIZATION;
use http::{HeaderMap, StatusCode};
use subtle::ConstantTimeEq;

use crate::http::reply::{self, Reply};

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
