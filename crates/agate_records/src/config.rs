//! Configuration records that operators write.

use agate_core::Version;
use agate_core::names::MAX_NAME_BYTES;
use agate_wire::message::{Selector, StopMode};

use crate::convert::{parse_name, required};
use crate::generated::selector::Of;
use crate::{RecordError, generated};

/// Stores a validated preset under a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresetPublished {
    /// Name of the preset.
    pub name: String,
    /// The validated JSON document.
    pub json: String,
    /// Operator who published the preset.
    pub operator: String,
}

/// Puts a published preset in force, provided that the newest switch is the one that the operator
/// expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresetSwitched {
    /// Name of the preset.
    pub name: String,
    /// Version of the newest switch that the operator saw; the default if there was none.
    pub expected: Version,
    /// Operator who switched.
    pub operator: String,
}

/// Withdraws a class or a tag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Withdrawn {
    /// The work to withdraw.
    pub selector: Selector,
    /// How running work is treated.
    pub mode: StopMode,
    /// Operator who withdrew it.
    pub operator: String,
}

/// Resumes a withdrawn class or tag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumed {
    /// The work to resume.
    pub selector: Selector,
    /// Operator who resumed it.
    pub operator: String,
}

impl From<PresetPublished> for generated::PresetPublished {
    fn from(record: PresetPublished) -> Self {
        Self {
            name: record.name,
            json: record.json,
            operator: record.operator,
        }
    }
}

impl TryFrom<generated::PresetPublished> for PresetPublished {
    type Error = RecordError;

    fn try_from(record: generated::PresetPublished) -> Result<Self, RecordError> {
        if record.name.is_empty() {
            return Err(RecordError::Missing { field: "name" });
        }
        if record.name.len() > MAX_NAME_BYTES {
            return Err(RecordError::OutOfRange { field: "name" });
        }
        Ok(Self {
            name: record.name,
            json: record.json,
            operator: record.operator,
        })
    }
}

impl From<PresetSwitched> for generated::PresetSwitched {
    fn from(record: PresetSwitched) -> Self {
        Self {
            name: record.name,
            expected: Some(record.expected.into()),
            operator: record.operator,
        }
    }
}

impl TryFrom<generated::PresetSwitched> for PresetSwitched {
    type Error = RecordError;

    fn try_from(record: generated::PresetSwitched) -> Result<Self, RecordError> {
        Ok(Self {
            name: record.name,
            expected: required(record.expected, "expected")?.into(),
            operator: record.operator,
        })
    }
}

impl From<Selector> for generated::Selector {
    fn from(selector: Selector) -> Self {
        let of = match selector {
            Selector::Class(class) => Of::Class(class.into()),
            Selector::Tag(tag) => Of::Tag(tag.into()),
        };
        Self { of: Some(of) }
    }
}

fn decode_selector(selector: Option<generated::Selector>) -> Result<Selector, RecordError> {
    let selector = required(selector, "selector")?;
    match required(selector.of, "selector")? {
        Of::Class(class) => parse_name(class, "class").map(Selector::Class),
        Of::Tag(tag) => parse_name(tag, "tag").map(Selector::Tag),
    }
}

impl From<StopMode> for generated::StopMode {
    fn from(mode: StopMode) -> Self {
        match mode {
            StopMode::Finish => Self::Finish,
            StopMode::Checkpoint => Self::Checkpoint,
            StopMode::Stop => Self::Stop,
        }
    }
}

fn decode_mode(mode: i32) -> Result<StopMode, RecordError> {
    let Ok(mode) = generated::StopMode::try_from(mode) else {
        return Err(RecordError::OutOfRange { field: "mode" });
    };
    Ok(match mode {
        generated::StopMode::Finish => StopMode::Finish,
        generated::StopMode::Checkpoint => StopMode::Checkpoint,
        generated::StopMode::Stop => StopMode::Stop,
    })
}

impl From<Withdrawn> for generated::Withdrawn {
    fn from(record: Withdrawn) -> Self {
        Self {
            selector: Some(record.selector.into()),
            mode: generated::StopMode::from(record.mode).into(),
            operator: record.operator,
        }
    }
}

impl TryFrom<generated::Withdrawn> for Withdrawn {
    type Error = RecordError;

    fn try_from(record: generated::Withdrawn) -> Result<Self, RecordError> {
        Ok(Self {
            selector: decode_selector(record.selector)?,
            mode: decode_mode(record.mode)?,
            operator: record.operator,
        })
    }
}

impl From<Resumed> for generated::Resumed {
    fn from(record: Resumed) -> Self {
        Self {
            selector: Some(record.selector.into()),
            operator: record.operator,
        }
    }
}

impl TryFrom<generated::Resumed> for Resumed {
    type Error = RecordError;

    fn try_from(record: generated::Resumed) -> Result<Self, RecordError> {
        Ok(Self {
            selector: decode_selector(record.selector)?,
            operator: record.operator,
        })
    }
}
