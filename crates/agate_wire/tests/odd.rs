//! Arbitrary and damaged messages are errors or messages, never panics.

use agate_wire::Blob;
use agate_wire::message::{
    ConfigState, Heartbeat, HeartbeatAck, Hello, KeyStatusReply, KeyStatusRequest,
    RunActionRequest, RunReport, ServeReply, ServeRequest, StartRun, Welcome,
};
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;

const HEARTBEAT: &str = r#"{"incarnation":"1","sequence":1,"leaving":false,"load":{"running":1,
    "queued":1,"service_us":1,"held":{"millicores":1,"memory_mib":1}},"config":{"offset":1,
    "index":1},"runs":[{"run":"1.1.1","step":"evict"}],"usage":[{"run":"1.1.1","class":"c",
    "age_ms":1,"used":{"millicores":1,"memory_mib":1}}],"urgent":[{"class":"c","age_ms":1,
    "slowdown_percent":1,"load_percent":1}],"entries":[{"incarnation":"1",
    "address":"10.0.0.1:80","site":{"region":"r","zone":"z"}}]}"#;
const HELLO: &str = r#"{"member":{"incarnation":"1","host":"worker","address":"10.0.0.1:80",
    "site":{"region":"r","zone":"z"},"capacity":{"slots":1,"connections":1,
    "resources":{"millicores":1,"memory_mib":1}},"classes":["c"]},"entry":null}"#;
const QUERY: &str = r#"{"key":"01890a5d-ac96-774b-bcce-b302099a8057","incarnation":"1",
    "tombstone":false,"wait_ms":1}"#;

/// Decodes a message of every type, and encodes those that are decoded.
fn decode_all(bytes: &[u8]) {
    decode::<Heartbeat>(bytes);
    decode::<HeartbeatAck>(bytes);
    decode::<Hello>(bytes);
    decode::<Welcome>(bytes);
    decode::<ConfigState>(bytes);
    decode::<KeyStatusRequest>(bytes);
    decode::<KeyStatusReply>(bytes);
    decode::<RunActionRequest>(bytes);
    decode::<RunReport>(bytes);
    decode::<ServeRequest>(bytes);
    decode::<ServeReply>(bytes);
    decode::<StartRun>(bytes);
    if let Ok(blob) = serde_json::from_slice::<Blob>(bytes) {
        drop(blob.decode());
    }
}

fn decode<T: DeserializeOwned + Serialize>(bytes: &[u8]) {
    if let Ok(message) = serde_json::from_slice::<T>(bytes) {
        serde_json::to_vec(&message).expect("a decoded message can be encoded");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(38),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_and_damaged_messages_never_panic(
        bytes in vec(any::<u8>(), 0..200),
        message in select(vec![HEARTBEAT, HELLO, QUERY]),
        damage in vec((any::<Index>(), any::<u8>()), 1..4),
    ) {
        decode_all(&bytes);
        let mut bytes = message.as_bytes().to_vec();
        for (index, byte) in damage {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        decode_all(&bytes);
    }

    #[test]
    fn a_number_out_of_its_range_must_be_an_error(
        message in select(vec![HEARTBEAT, HELLO]),
        number in select(vec!["-1", "1e400", "18446744073709551616", "0.5", "null", "[]"]),
    ) {
        let odd = message.replace(":1,", &format!(":{number},")).into_bytes();
        let is_error = match message {
            HEARTBEAT => serde_json::from_slice::<Heartbeat>(&odd).is_err(),
            _ => serde_json::from_slice::<Hello>(&odd).is_err(),
        };
        prop_assert!(is_error);
    }
}

// Guards against a message that ends the process or is believed although it can't be true.
#[rstest]
#[case::port(HELLO.replace(":80", ":99999"))]
#[case::no_port(HELLO.replace(":80", ""))]
#[case::not_an_address(HELLO.replace("10.0.0.1:80", "not an address"))]
#[case::slots(HELLO.replace(r#""slots":1"#, r#""slots":4294967296"#))]
#[case::no_incarnation(HELLO.replace(r#""incarnation":"1","#, ""))]
#[case::incarnation_of_another_type(HELLO.replace(r#""incarnation":"1""#, r#""incarnation":1"#))]
#[case::incarnation_too_large(HELLO.replace(r#""1""#, r#""10000000000000000""#))]
#[case::nesting(format!("{}{}", r#"{"member":"#.repeat(100_000), "}".repeat(100_000)))]
fn an_odd_announcement_must_be_an_error(#[case] odd: String) {
    serde_json::from_str::<Hello>(HELLO).expect("the announcement is valid");
    serde_json::from_str::<Hello>(&odd).expect_err("the announcement is odd");
}

#[test]
fn nesting_in_an_unknown_field_must_not_end_the_process() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    decode_all(
        HELLO
            .replacen('{', &format!(r#"{{"x":{nested},"#), 1)
            .as_bytes(),
    );
}
