//! Messages between a process and its relay.

use std::time::Duration;

use agate_node::relay::{
    Call, Method, RelayRequest, RelayResponse, append_request, append_response, decode_append,
    decode_call, decode_read, newest_request, read_request, read_response, status,
};
use agate_node::store::{AppendError, ReadError, StoredRecord, Stream};
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

fn stream() -> impl Strategy<Value = Stream> {
    prop_oneof![
        Just(Stream::Main),
        Just(Stream::Config),
        any::<u16>().prop_map(Stream::Orders),
    ]
}

fn record() -> impl Strategy<Value = (String, Vec<u8>)> {
    (".{0,20}", vec(any::<u8>(), 0..40))
}

proptest! {
    /// A relayed append with another stream or record than the direct one would lose a record.
    #[test]
    fn an_append_arrives_as_it_was_sent(stream in stream(), records in vec(record(), 0..5)) {
        let request = append_request(stream, &records).unwrap();
        prop_assert_eq!(decode_call(&request), Ok(Call::Append { stream, records }));
    }

    #[test]
    fn a_read_arrives_as_it_was_sent(stream in stream(), from: u64, wait: u32) {
        let wait = Duration::from_millis(wait.into());
        let request = read_request(stream, from, wait);
        prop_assert_eq!(decode_call(&request), Ok(Call::Read { stream, from, wait }));
        prop_assert_eq!(decode_call(&newest_request(stream)), Ok(Call::Newest { stream }));
    }

    /// A page that was cut short would make a reader skip records or hide a suspicion.
    #[test]
    fn stored_records_arrive_whole_or_not_at_all(
        records in vec((any::<u64>(), record()), 1..5), end: u64, cut in 1_usize..60,
    ) {
        let stored = |(offset, (key, value))| StoredRecord { offset, key, value };
        let records: Vec<_> = records.into_iter().map(stored).collect();
        let mut response = read_response(Ok((&records, end)));
        prop_assert_eq!(decode_read(&response), Ok((records.clone(), end)));
        response.body.truncate(response.body.len().saturating_sub(cut));
        if let Ok((shorter, end)) = decode_read(&response) {
            prop_assert_eq!(read_response(Ok((&shorter, end))), response);
        }
    }

    /// A panic on bad input would end the task that serves the connection.
    #[test]
    fn any_input_is_decoded_or_rejected(
        target in "(/relay/(append|read|newest))?\\??[a-z0-9=&-]{0,40}",
        body in vec(any::<u8>(), 0..100), code in 0_u16..600, posts: bool,
    ) {
        let method = if posts { Method::Post } else { Method::Get };
        let _ = decode_call(&RelayRequest { method, target, body: body.clone() });
        let response = RelayResponse { status: code, body };
        let _ = (decode_append(&response), decode_read(&response));
    }
}

/// An earlier version relayed fenced appends. Recorded without its fence, an order of a deposed
/// leader would start a task.
#[rstest]
#[case::fence("&epoch=3&sequence=8")]
#[case::epoch("&epoch=3")]
#[case::sequence("&sequence=8")]
fn an_append_with_a_fence_is_malformed(#[case] fence: &str) {
    let records = [("o/1".to_owned(), vec![1])];
    let mut request = append_request(Stream::Orders(3), &records).unwrap();
    request.target.push_str(fence);
    let response = decode_call(&request).unwrap_err();
    assert_eq!(response.status, status::MALFORMED);
}

/// A result that is decoded as another would make a caller repeat or drop its records.
#[rstest]
#[case::recorded(Ok(7), true, false)]
#[case::not_recorded(Err(AppendError::NotDone("refused".to_owned())), false, true)]
#[case::fenced(Err(AppendError::Fenced), false, true)]
#[case::sequence(Err(AppendError::OutOfSequence(9)), false, true)]
#[case::unknown(Err(AppendError::Unknown("timed out".to_owned())), false, false)]
fn the_result_of_an_append_arrives_as_it_was_sent(
    #[case] result: Result<u64, AppendError>,
    #[case] recorded: bool,
    #[case] refused: bool,
) {
    let decoded = decode_append(&append_response(&result));
    match &decoded {
        Ok(_) => assert_eq!(decoded, result),
        Err(AppendError::NotDone(_)) => assert!(refused, "{result:?}"),
        Err(AppendError::Unknown(_)) => assert!(!recorded && !refused, "{result:?}"),
        Err(error) => panic!("{error} is decoded from {result:?}"),
    }
}

/// A refusal that is decoded as "not recorded" is passed on to the caller, so it must be certain.
#[rstest]
#[case::refused(503, true)]
#[case::too_long(413, true)]
#[case::other_version(404, true)]
#[case::unknown(504, false)]
#[case::failed_handler(500, false)]
#[case::unreadable_success(200, false)]
#[case::undefined(409, false)]
fn only_certain_refusals_count_as_not_recorded(#[case] status: u16, #[case] certain: bool) {
    let body = b"?".to_vec();
    let result = decode_append(&RelayResponse { status, body });
    assert_eq!(
        matches!(result, Err(AppendError::NotDone(_))),
        certain,
        "{result:?}"
    );
    assert_eq!(
        matches!(result, Err(AppendError::Unknown(_))),
        !certain,
        "{result:?}"
    );
}

#[test]
fn a_deleted_page_is_told_from_an_unavailable_one() {
    let response = read_response(Err(&ReadError::Deleted));
    assert_eq!(decode_read(&response), Err(ReadError::Deleted));
    let response = read_response(Err(&ReadError::Unavailable(String::new())));
    assert!(matches!(
        decode_read(&response),
        Err(ReadError::Unavailable(_))
    ));
}
