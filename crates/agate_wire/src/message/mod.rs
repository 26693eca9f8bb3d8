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
    ReportAck, RunAction, RunActionReply, RunActionRequest, RunReport, RunResult, StartReply,
    StartRun,
};
pub use serve::{
    BackendResponse, KeyStatus, KeyStatusReply, KeyStatusRequest, Refusal, ServeReply,
    ServeRequest, ServeResult,
};
