//! Conversions of values that several records share.

use agate_core::{JobId, Offset, Position, Resources, RunId, TaskId, Version};

use crate::RecordError;
use crate::generated::{Amount, Place, Run};

impl From<Position> for Place {
    fn from(position: Position) -> Self {
        Self {
            offset: position.offset.0,
            index: position.index,
        }
    }
}

impl From<Place> for Position {
    fn from(place: Place) -> Self {
        Self::new(Offset(place.offset), place.index)
    }
}

impl From<Version> for Place {
    fn from(version: Version) -> Self {
        version.0.into()
    }
}

impl From<Place> for Version {
    fn from(place: Place) -> Self {
        Self(place.into())
    }
}

impl From<Resources> for Amount {
    fn from(amount: Resources) -> Self {
        Self {
            millicores: amount.millicores,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
        }
    }
}

impl From<Amount> for Resources {
    fn from(amount: Amount) -> Self {
        Self::new(amount.millicores, amount.memory_mib, amount.accelerators)
    }
}

impl From<RunId> for Run {
    fn from(run: RunId) -> Self {
        Self {
            job: run.task.job.0,
            index: run.task.index,
            epoch: run.epoch,
        }
    }
}

impl From<Run> for RunId {
    fn from(run: Run) -> Self {
        let task = TaskId {
            job: JobId(run.job),
            index: run.index,
        };
        Self {
            task,
            epoch: run.epoch,
        }
    }
}

/// Returns the value of a mandatory field.
pub(crate) fn required<T>(value: Option<T>, field: &'static str) -> Result<T, RecordError> {
    value.ok_or(RecordError::Missing { field })
}

/// Parses and validates a name.
pub(crate) fn parse_name<T>(text: String, field: &'static str) -> Result<T, RecordError>
where
    T: TryFrom<String, Error = agate_core::names::NameError>,
{
    T::try_from(text).map_err(|error| RecordError::NotAName { field, error })
}

/// Parses a 16-byte big-endian id.
pub(crate) fn parse_id(bytes: &[u8], field: &'static str) -> Result<u128, RecordError> {
    let Ok(bytes) = <[u8; 16]>::try_from(bytes) else {
        return Err(RecordError::OutOfRange { field });
    };
    Ok(u128::from_be_bytes(bytes))
}
