//! The messages.

mod config;
mod member;
mod run;
mod serve;

pub use config::{ConfigState, PresetInForce, Selector, StopMode, Withdrawal};
pub use member::{
    Capacity, EntryInfo, Heartbeat, HeartbeatAck, Hello, Load, MemberInfo, RunStatus, UrgentSample,
    UsageSample, Verdict, Welcome,
};
pub use run::{
    ReportAck, RunReport, RunResult, StartReply, StartRun, StopKind, StopReply, StopRun,
};
pub use serve::{
    Answer, Fate, FateReply, FateRequest, Refusal, ServeReply, ServeRequest, ServeResult,
};
