//! Encoding and verification of tickets.

use agate_core::{Incarnation, Key};
use agate_entry::{Ticket, TicketError, TicketSigner};
use agate_settings::Secret;
use proptest::prelude::*;

fn signer(secret: &str) -> TicketSigner {
    TicketSigner::new(Secret::new(secret))
}

fn ticket(address: &str) -> Ticket {
    Ticket {
        key: Key::from_parts(1_765_000_000_000, [7; 10]),
        incarnation: Incarnation::new(42),
        address: address.parse().unwrap(),
    }
}

#[test]
fn ticket_round_trips_through_text() {
    let signer = signer("0123456789abcdef");
    for address in ["10.0.0.7:7000", "[::1]:7000"] {
        let ticket = ticket(address);
        assert_eq!(signer.verify(&signer.sign(&ticket)), Ok(ticket));
    }
}

#[test]
fn ticket_signed_with_another_secret_is_rejected() {
    let text = signer("another secret text").sign(&ticket("10.0.0.7:7000"));
    let verified = signer("0123456789abcdef").verify(&text);
    assert_eq!(verified, Err(TicketError::BadSignature));
}

proptest! {
    #[test]
    fn modified_ticket_is_rejected(index in 0_usize..100, byte in any::<u8>()) {
        let signer = signer("0123456789abcdef");
        let mut text = signer.sign(&ticket("10.0.0.7:7000")).into_bytes();
        let index = index % text.len();
        prop_assume!(text[index] != byte);
        text[index] = byte;
        if let Ok(text) = String::from_utf8(text) {
            prop_assert!(signer.verify(&text).is_err());
        }
    }

    #[test]
    fn arbitrary_text_is_rejected(text in ".{0,300}") {
        prop_assert!(signer("0123456789abcdef").verify(&text).is_err());
    }
}
