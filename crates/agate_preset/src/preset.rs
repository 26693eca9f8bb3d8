//! Parsing and validation of presets.

use std::collections::BTreeMap;
use std::str::FromStr;

use agate_core::names::NameError;
use agate_core::{ClassName, Finding, Findings, TeamName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::field::Section;
use crate::policy::{
    Admission, Eviction, Interference, Leases, Link, Membership, Placement, Retries, Routing,
    Weights,
};
use crate::reader::Reader;
use crate::{ClassPolicy, DayKind, TeamQuota};

/// Maximum size of a preset document in bytes.
pub const MAX_PRESET_BYTES: usize = 256 * 1024;

/// A valid preset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preset {
    /// Kind of day that the preset is for.
    pub kind: DayKind,
    /// Choice of a backend server.
    pub routing: Routing,
    /// Admission of urgent requests.
    pub admission: Admission,
    /// Retries of repeatable requests.
    pub retries: Retries,
    /// Use of the link between regions.
    pub link: Link,
    /// Detection of members that joined, left or stopped responding.
    pub membership: Membership,
    /// Placement of batch tasks.
    pub placement: Placement,
    /// Learned model of slowdowns.
    pub interference: Interference,
    /// Steps against batch work that slows urgent work.
    pub eviction: Eviction,
    /// Leases of batch runs.
    pub leases: Leases,
    /// Weights of the objectives.
    pub weights: Weights,
    /// Policy per class. Classes that are not listed have the default policy.
    pub classes: BTreeMap<ClassName, ClassPolicy>,
    /// Quota per team. Teams that are not listed may only borrow.
    pub teams: BTreeMap<TeamName, TeamQuota>,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            kind: DayKind::Ordinary,
            routing: Routing::default(),
            admission: Admission::default(),
            retries: Retries::default(),
            link: Link::default(),
            membership: Membership::default(),
            placement: Placement::default(),
            interference: Interference::default(),
            eviction: Eviction::default(),
            leases: Leases::default(),
            weights: Weights::default(),
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }
}

impl Preset {
    /// Parses and validates a JSON document.
    ///
    /// # Errors
    ///
    /// Returns a finding for every problem.
    pub fn parse(json: &str) -> Result<Self, Findings> {
        if json.len() > MAX_PRESET_BYTES {
            return Err(Finding::new("document", "a preset has at most 262144 bytes").into());
        }
        let value: Value = serde_json::from_str(json)
            .map_err(|error| Finding::new("document", format!("not valid JSON: {error}")))?;
        let mut findings = Findings::new();
        let preset = Self::read(&value, &mut findings);
        preset.check(&mut findings);
        findings.into_result(preset)
    }

    /// Returns the descriptions of the whole-number sections, for reference pages.
    pub fn sections() -> Vec<Section> {
        vec![
            Routing::section(),
            Admission::section(),
            Retries::section(),
            Link::section(),
            Membership::section(),
            Placement::section(),
            Interference::section(),
            Eviction::section(),
            Leases::section(),
            Weights::section(),
        ]
    }

    /// Returns the policy of `class`.
    pub fn class(&self, class: &ClassName) -> ClassPolicy {
        self.classes.get(class).copied().unwrap_or_default()
    }

    fn read(value: &Value, findings: &mut Findings) -> Self {
        let mut root = Reader::new("", Some(value), findings);
        if root.take("kind").is_none() && value.is_object() {
            findings.add(
                "kind",
                "missing; expected one of ordinary, peak, maintenance",
            );
        }
        let preset = Self {
            kind: root.choice("kind", DayKind::Ordinary, findings),
            routing: Routing::read(root.section("routing", findings), findings),
            admission: Admission::read(root.section("admission", findings), findings),
            retries: Retries::read(root.section("retries", findings), findings),
            link: Link::read(root.section("link", findings), findings),
            membership: Membership::read(root.section("membership", findings), findings),
            placement: Placement::read(root.section("placement", findings), findings),
            interference: Interference::read(root.section("interference", findings), findings),
            eviction: Eviction::read(root.section("eviction", findings), findings),
            leases: Leases::read(root.section("leases", findings), findings),
            weights: Weights::read(root.section("weights", findings), findings),
            classes: read_named(
                &root.section("classes", findings),
                findings,
                ClassPolicy::read,
            ),
            teams: read_named(&root.section("teams", findings), findings, TeamQuota::read),
        };
        root.finish(findings);
        preset
    }

    /// Checks conditions between fields.
    fn check(&self, findings: &mut Findings) {
        let eviction = &self.eviction;
        if eviction.release_percent >= eviction.throttle_percent {
            findings.add(
                "eviction.release_percent",
                "must be below eviction.throttle_percent",
            );
        }
        if eviction.throttle_percent >= eviction.evict_percent {
            findings.add(
                "eviction.throttle_percent",
                "must be below eviction.evict_percent",
            );
        }
        let members = &self.membership;
        if members.suspect_ms < members.heartbeat_ms.saturating_mul(2) {
            findings.add(
                "membership.suspect_ms",
                "must be at least twice membership.heartbeat_ms",
            );
        }
        if members.forget_ms <= members.suspect_ms {
            findings.add(
                "membership.forget_ms",
                "must be above membership.suspect_ms",
            );
        }
        if self.weights.latency + self.weights.throughput + self.weights.evictions == 0 {
            findings.add("weights", "at least one weight must be above zero");
        }
    }
}

fn read_named<K: Ord + FromStr<Err = NameError>, V>(
    section: &Reader<'_>,
    findings: &mut Findings,
    read: fn(Reader<'_>, &mut Findings) -> V,
) -> BTreeMap<K, V> {
    let mut named = BTreeMap::new();
    for (name, reader) in section.members(findings) {
        match K::from_str(name) {
            Ok(key) => {
                named.insert(key, read(reader, findings));
            }
            Err(error) => findings.add(section.place_of(name), error.to_string()),
        }
    }
    named
}
