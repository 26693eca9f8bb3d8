//! Reference pages generated from the definitions that the programs use.

mod decisions;
mod preset;

use agate_agent::AgentSetting;
use agate_entry::EntrySetting;
use agate_settings::reference;

/// A generated reference page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// File name in `docs/reference`.
    pub file: &'static str,
    /// Content in Markdown.
    pub text: String,
}

/// Returns all generated pages.
pub fn pages() -> Vec<Page> {
    vec![
        Page {
            file: "agate-entry.md",
            text: reference::<EntrySetting>(&agate_entry::PROGRAM),
        },
        Page {
            file: "agate-agent.md",
            text: reference::<AgentSetting>(&agate_agent::PROGRAM),
        },
        Page {
            file: "agate-platform-entry.md",
            text: reference::<agate_platform::EntrySetting>(&agate_platform::ENTRY),
        },
        Page {
            file: "agate-platform-agent.md",
            text: reference::<agate_platform::AgentSetting>(&agate_platform::AGENT),
        },
        Page {
            file: "agatectl.md",
            text: agate_ctl::reference(),
        },
        Page {
            file: "preset.md",
            text: preset::page(),
        },
        Page {
            file: "decisions.md",
            text: decisions::page(),
        },
    ]
}
