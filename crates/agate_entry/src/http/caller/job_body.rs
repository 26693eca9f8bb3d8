//! The JSON body of a job submission.

use agate_core::{CallerName, Findings, JobId, Resources};
use agate_preset::reader::Reader;
use agate_records::{JobSubmitted, MAX_TASKS};
use rand::Rng;

use crate::http::json;

/// Parses a submission and collects every finding. Generates an id if none is given.
pub(crate) fn read(
    bytes: &[u8],
    caller: Option<CallerName>,
    findings: &mut Findings,
) -> Option<JobSubmitted> {
    let value = json::parse(bytes, findings)?;
    let mut reader = Reader::new("", Some(&value), findings);
    let job = json::optional(&mut reader, "job", findings);
    let team = json::required(&mut reader, "team", findings);
    let class = json::required(&mut reader, "class", findings);
    let tags = json::list(&mut reader, "tags", findings);
    let tasks = reader.number("tasks", 1..=MAX_TASKS, 1, findings);
    let declared = read_resources(&mut reader, findings);
    let payload = json::text(&mut reader, "payload", findings);
    reader.finish(findings);
    let submitted = JobSubmitted {
        job: job.unwrap_or_else(|| JobId(rand::rng().random())),
        caller: caller?,
        team: team?,
        class: class?,
        tags,
        tasks,
        declared,
        payload,
    };
    findings.extend(submitted.check());
    Some(submitted)
}

fn read_resources(reader: &mut Reader<'_>, findings: &mut Findings) -> Resources {
    let place = reader.place_of("resources");
    let mut section = reader.section("resources", findings);
    let resources = Resources {
        millicores: section.number("millicores", 0..=u32::MAX, 0, findings),
        memory_mib: section.number("memory_mib", 0..=u32::MAX, 0, findings),
        accelerators: section.number("accelerators", 0..=u32::MAX, 0, findings),
    };
    section.finish(findings);
    if resources.is_zero() {
        findings.add(place, "at least one resource must be above zero");
    }
    resources
}
