//! `/v1/members`: the agents and entries that this entry knows.

use std::sync::Arc;

use agate_wire::message::{EntryInfo, Load};
use dropshot::{HttpError, RequestContext, endpoint};
use http::StatusCode;
use serde::Serialize;

use super::auth;
use crate::entry::Entry;
use crate::http::reply::{self, Reply};
use crate::members::MemberListing;

/// The agents and entries that this entry knows.
#[derive(Debug, Serialize)]
struct MembersView {
    members: Vec<MemberView>,
    entries: Vec<EntryInfo>,
}

#[derive(Debug, Serialize)]
struct MemberView {
    incarnation: String,
    host: String,
    address: String,
    region: String,
    zone: String,
    standing: String,
    slots: u32,
    load: Load,
    silent_ms: u64,
}

impl From<MemberListing> for MemberView {
    fn from(member: MemberListing) -> Self {
        let info = member.info;
        Self {
            incarnation: info.incarnation.to_string(),
            host: info.host.to_string(),
            address: info.address.to_string(),
            region: info.site.region.to_string(),
            zone: info.site.zone.to_string(),
            standing: member.status.to_string(),
            slots: info.capacity.slots,
            load: member.load,
            silent_ms: member.silent_ms,
        }
    }
}

/// Lists the agents and entries that this entry knows.
#[endpoint { method = GET, path = "/v1/members" }]
pub(crate) async fn list_members(context: RequestContext<Arc<Entry>>) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    let members = entry.members.list().into_iter().map(MemberView::from);
    let view = MembersView {
        members: members.collect(),
        entries: entry.entries(),
    };
    Ok(reply::json(StatusCode::OK, &view))
}
