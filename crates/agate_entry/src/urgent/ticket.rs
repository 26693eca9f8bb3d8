//! Tickets: signed bindings of a key to an incarnation, held by the caller.

use std::net::SocketAddr;

use agate_core::hash::stable_hash_wide;
use agate_core::{Incarnation, Key};
use agate_settings::Secret;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use displaydoc::Display;
use subtle::ConstantTimeEq;

/// Longest encoded ticket.
const MAX_TICKET_BYTES: usize = 256;

/// Separates the fields of a ticket; no field can contain it.
const SEPARATOR: char = '/';

/// A key bound to an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The key.
    pub key: Key,
    /// The only incarnation that may run the request.
    pub incarnation: Incarnation,
    /// Address of the incarnation.
    pub address: SocketAddr,
}

/// Reason why a text is not a valid ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TicketError {
    /// not a ticket of this system; send it as POST /v1/tickets returned it
    Malformed,
    /// the ticket is not signed by an entry of this system
    BadSignature,
}

impl std::error::Error for TicketError {}

/// Signs and verifies tickets.
///
/// An entry dials the address in a ticket, so tickets must be unforgeable: each carries a hash of
/// its contents and of a secret that all entries share.
#[derive(Debug, Clone)]
pub struct TicketSigner {
    secret: Secret,
}

impl TicketSigner {
    /// Creates a signer from the secret that all entries share.
    pub const fn new(secret: Secret) -> Self {
        Self { secret }
    }

    /// Encodes and signs `ticket` as text that is safe in headers and paths.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let content = content(ticket);
        let signature = self.signature(&content);
        URL_SAFE_NO_PAD.encode(format!("{content}{SEPARATOR}{signature:032x}"))
    }

    /// Decodes a ticket and verifies its signature.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError`] if the text is malformed or signed with another secret.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(TicketError::Malformed);
        }
        let Ok(bytes) = URL_SAFE_NO_PAD.decode(text) else {
            return Err(TicketError::Malformed);
        };
        let Ok(text) = String::from_utf8(bytes) else {
            return Err(TicketError::Malformed);
        };
        let Some((content, signature)) = text.rsplit_once(SEPARATOR) else {
            return Err(TicketError::Malformed);
        };
        let expected = format!("{:032x}", self.signature(content));
        if !bool::from(expected.as_bytes().ct_eq(signature.as_bytes())) {
            return Err(TicketError::BadSignature);
        }
        parse(content).ok_or(TicketError::Malformed)
    }

    fn signature(&self, content: &str) -> u128 {
        let secret = self.secret.expose().as_bytes();
        stable_hash_wide(&[b"ticket", secret, content.as_bytes()])
    }
}

fn content(ticket: &Ticket) -> String {
    let Ticket {
        key,
        incarnation,
        address,
    } = ticket;
    format!("{key}{SEPARATOR}{incarnation}{SEPARATOR}{address}")
}

fn parse(content: &str) -> Option<Ticket> {
    let mut parts = content.split(SEPARATOR);
    let ticket = Ticket {
        key: parts.next()?.parse().ok()?,
        incarnation: parts.next()?.parse().ok()?,
        address: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(ticket)
}
