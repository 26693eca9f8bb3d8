//! Published presets and the one in force.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use agate_core::Version;
use agate_preset::Preset;
use agate_records::{PresetPublished, PresetSwitched};
use agate_wire::message::PresetInForce;

use crate::{RejectReason, StateLimits};

/// The latest publication of a preset.
#[derive(Debug, Clone)]
pub struct PublishedPreset {
    /// The latest record under this name.
    pub record: PresetPublished,
    /// Version of the record.
    pub version: Version,
    preset: Arc<Preset>,
}

impl PublishedPreset {
    /// Returns the validated preset.
    pub fn preset(&self) -> &Preset {
        &self.preset
    }
}

/// The preset in force. Publishing again under its name does not change it.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    pub(crate) name: String,
    pub(crate) json: String,
    pub(crate) version: Version,
    preset: Arc<Preset>,
}

/// A switch of the preset in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresetSwitch {
    /// Name of the preset that came into force.
    pub name: String,
    /// The operator that switched.
    pub operator: String,
    /// Version of the switch.
    pub version: Version,
    /// Wall clock of the writer in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// The published presets, the preset in force and the most recent switches.
#[derive(Debug, Clone)]
pub(crate) struct Presets {
    preset_limit: usize,
    switch_limit: usize,
    published: BTreeMap<String, PublishedPreset>,
    in_force: Option<InForce>,
    switches: VecDeque<PresetSwitch>,
}

impl InForce {
    pub(crate) fn to_message(&self) -> PresetInForce {
        PresetInForce {
            name: self.name.clone(),
            version: self.version,
            preset: Preset::clone(&self.preset),
        }
    }
}

fn parse(json: &str) -> Result<Arc<Preset>, RejectReason> {
    match Preset::parse(json) {
        Ok(preset) => Ok(Arc::new(preset)),
        Err(findings) => Err(RejectReason::BadPreset(findings)),
    }
}

impl Presets {
    pub(crate) const fn new(limits: &StateLimits) -> Self {
        Self {
            preset_limit: limits.presets,
            switch_limit: limits.switches,
            published: BTreeMap::new(),
            in_force: None,
            switches: VecDeque::new(),
        }
    }

    pub(crate) const fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    pub(crate) fn published(&self) -> impl Iterator<Item = &PublishedPreset> {
        self.published.values()
    }

    pub(crate) fn switches(&self) -> impl DoubleEndedIterator<Item = &PresetSwitch> {
        self.switches.iter()
    }

    /// Returns the number of failed runs after which a task fails.
    pub(crate) fn max_attempts(&self) -> u32 {
        match &self.in_force {
            Some(in_force) => in_force.preset.placement.attempts,
            None => Preset::default().placement.attempts,
        }
    }

    pub(crate) fn publish(
        &mut self,
        version: Version,
        record: &PresetPublished,
    ) -> Result<(), RejectReason> {
        let preset = parse(&record.json)?;
        let known = self.published.contains_key(&record.name);
        if !known && self.published.len() >= self.preset_limit {
            return Err(RejectReason::TooManyPresets);
        }
        let published = PublishedPreset {
            record: record.clone(),
            version,
            preset,
        };
        self.published.insert(record.name.clone(), published);
        Ok(())
    }

    pub(crate) fn switch(
        &mut self,
        version: Version,
        record: &PresetSwitched,
        wall_ms: u64,
    ) -> Result<(), RejectReason> {
        self.check_expected(record.expected)?;
        let Some(published) = self.published.get(&record.name) else {
            return Err(RejectReason::UnknownPreset);
        };
        self.in_force = Some(InForce {
            name: record.name.clone(),
            json: published.record.json.clone(),
            version,
            preset: Arc::clone(&published.preset),
        });
        self.record_switch(PresetSwitch {
            name: record.name.clone(),
            operator: record.operator.clone(),
            version,
            wall_ms,
        });
        Ok(())
    }

    /// Restores the preset in force from a snapshot.
    pub(crate) fn set_in_force(
        &mut self,
        name: String,
        json: String,
        version: Version,
    ) -> Result<(), RejectReason> {
        let preset = parse(&json)?;
        self.in_force = Some(InForce {
            name,
            json,
            version,
            preset,
        });
        Ok(())
    }

    pub(crate) fn record_switch(&mut self, switch: PresetSwitch) {
        self.switches.push_back(switch);
        if self.switches.len() > self.switch_limit {
            self.switches.pop_front();
        }
    }

    fn check_expected(&self, expected: Version) -> Result<(), RejectReason> {
        let (name, version) = match &self.in_force {
            Some(in_force) => (in_force.name.clone(), in_force.version),
            None => (String::new(), Version::default()),
        };
        if version == expected {
            return Ok(());
        }
        Err(RejectReason::NotInForce { name, version })
    }
}
