//! The complete client against the stand-in log over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_core::{Offset, Version};
use agate_log::{
    AppendOutcome, AppendSettings, Appender, FollowSettings, HttpSettings, HttpStore, LogStore,
    Stream, recover,
};
use agate_records::{Body, PresetPublished, PresetSwitched};
use agate_state::{Effect, RecentEffects, RejectReason, State, StateLimits};
use bytes::Bytes;
use rstest::rstest;
use standin_log::{Config, Faults, Handle, Limits, serve};

use crate::support::{bodies, recorded, rng, start_appender};

async fn start(appends_per_second: u32) -> Handle {
    let limits = Limits {
        retention: Duration::from_mins(1),
        appends_per_second,
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Config::builder().listen(listen).limits(limits).build();
    serve(config).await.expect("should bind a free port")
}

fn store(log: &Handle) -> Arc<HttpStore> {
    let settings = HttpSettings::builder()
        .address(log.address())
        .call_timeout(Duration::from_millis(500))
        .build();
    Arc::new(HttpStore::new(settings))
}

async fn read_all(store: &Arc<HttpStore>) -> State {
    let store = Arc::clone(store) as Arc<dyn LogStore>;
    let limits = StateLimits::default();
    let recovered = recover(store, limits, FollowSettings::default(), &mut rng(9)).await;
    recovered.expect("no record should have expired").state
}

fn publish(name: &str) -> Body {
    Body::from(PresetPublished {
        name: name.to_owned(),
        json: r#"{"kind": "peak"}"#.to_owned(),
        operator: name.to_owned(),
    })
}

fn switch(name: &str, expected: Version) -> Body {
    Body::from(PresetSwitched {
        name: name.to_owned(),
        expected,
        operator: name.to_owned(),
    })
}

#[tokio::test]
async fn appended_data_is_read_back_unchanged() {
    let log = start(1_000).await;
    let store = store(&log);
    let data = Bytes::from((0..=255).collect::<Vec<u8>>());
    let offset = store.append(Stream::Keys, data.clone()).await;
    assert_eq!(offset, Ok(Offset(1)));
    let page = store
        .read(Stream::Keys, Offset(1), Duration::ZERO)
        .await
        .unwrap();
    assert_eq!(page.entries[0].data, data);
    log.close().await.unwrap();
}

#[rstest]
#[case::in_order(Faults::default())]
#[case::with_lost_responses(Faults { lose_answers_percent: 60, ..Faults::default() })]
#[case::on_a_slow_log(Faults { slow_ms: 30, ..Faults::default() })]
#[tokio::test]
async fn concurrent_switches_have_the_same_winner_for_every_reader(#[case] faults: Faults) {
    let log = start(1_000).await;
    let one = store(&log);
    let two = store(&log);
    let (first, _task) = start_appender(&one, AppendSettings::default(), 1);
    recorded(first.append(vec![publish("day"), publish("peak")]).await);
    let (second, _task) = start_appender(&two, AppendSettings::default(), 2);
    log.set_faults(faults);
    let seen = Version::default();
    let (day, peak) = tokio::join!(
        first.append(vec![switch("day", seen)]),
        second.append(vec![switch("peak", seen)]),
    );
    let (day, peak) = (recorded(day), recorded(peak));
    let states = [read_all(&one).await, read_all(&two).await];
    assert_eq!(states[0].config(), states[1].config());
    let winner = if day.offset < peak.offset {
        "day"
    } else {
        "peak"
    };
    let config = states[0].config();
    assert_eq!(config.preset.as_ref().unwrap().name, winner);
    log.close().await.unwrap();
}

#[tokio::test]
async fn losing_switch_is_rejected_with_the_winner() {
    let log = start(1_000).await;
    let store = store(&log);
    let (appender, _task) = start_appender(&store, AppendSettings::default(), 1);
    let seen = Version::default();
    recorded(
        appender
            .append(vec![publish("day"), switch("day", seen)])
            .await,
    );
    let loser = recorded(appender.append(vec![switch("day", seen)]).await);

    let mut state = State::new(StateLimits::default());
    let mut recent = RecentEffects::new(16);
    let page = store
        .read(Stream::Main, Offset(1), Duration::ZERO)
        .await
        .unwrap();
    for entry in page.entries {
        let batch = agate_records::DecodedBatch::decode(entry.offset, &entry.data);
        let effect = state.apply_batch(&batch);
        recent.record(batch.id.unwrap(), &effect);
    }
    let version = state.config().version;
    let reason = RejectReason::NotInForce {
        name: "day".to_owned(),
        version,
    };
    assert_eq!(
        recent.get(loser.batch, loser.index),
        Some(&Effect::Rejected(reason))
    );
    log.close().await.unwrap();
}

#[tokio::test]
async fn appends_succeed_when_every_response_is_lost() {
    let log = start(1_000).await;
    let store = store(&log);
    log.set_faults(Faults {
        lose_answers_percent: 100,
        ..Faults::default()
    });
    let (appender, _task) = start_appender(&store, AppendSettings::default(), 1);
    for offset in 1..=5 {
        let recorded = recorded(appender.append(bodies(2)).await);
        assert_eq!(recorded.offset, Offset(offset));
    }
    log.close().await.unwrap();
}

#[tokio::test]
async fn first_append_after_an_outage_succeeds() {
    let log = start(1_000).await;
    let store = store(&log);
    log.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let settings = AppendSettings::builder()
        .timeout(Duration::from_millis(300))
        .build();
    let (appender, _task) = start_appender(&store, settings, 1);
    let outcome = appender.append(bodies(1)).await;
    assert!(
        matches!(outcome, AppendOutcome::NotRecorded { .. }),
        "{outcome:?}"
    );
    log.set_faults(Faults::default());
    assert_eq!(recorded(appender.append(bodies(1)).await).offset, Offset(1));
    log.close().await.unwrap();
}

#[tokio::test]
async fn concurrent_callers_stay_within_the_append_rate_limit() {
    let log = start(50).await;
    let store = store(&log);
    let (appender, _task) = start_appender(&store, AppendSettings::default(), 1);
    let calls: Vec<_> = (0..2_000)
        .map(|_| {
            let appender: Appender = appender.clone();
            tokio::spawn(async move { appender.append(bodies(1)).await })
        })
        .collect();
    for call in calls {
        recorded(call.await.unwrap());
    }
    let page = store
        .read(Stream::Main, Offset(1), Duration::ZERO)
        .await
        .unwrap();
    assert!(page.end.0 < 50, "{} appends for 2000 records", page.end);
    log.close().await.unwrap();
}
