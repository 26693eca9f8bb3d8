//! How many processes run where.

use bon::Builder;

/// One availability zone of the frame.
#[derive(Debug, Clone, Builder)]
pub struct Zone {
    /// Region.
    #[builder(into)]
    pub region: String,
    /// Name.
    #[builder(into)]
    pub name: String,
    /// Entries.
    pub entries: usize,
    /// Backend servers, each with an agent.
    pub backends: usize,
    /// Workers, each with an agent.
    pub workers: usize,
}

/// The whole frame.
#[derive(Debug, Clone, Builder)]
pub struct Layout {
    /// Its zones.
    pub zones: Vec<Zone>,
    /// Requests that a backend server works on at once.
    #[builder(default = 8)]
    pub slots: u32,
    /// Shortest and longest service time of a backend server in microseconds.
    #[builder(default = (2_000, 8_000))]
    pub service_us: (u32, u32),
    /// Processor time of a worker in thousandths of a core.
    #[builder(default = 16_000)]
    pub millicores: u32,
    /// Memory of a worker in MiB.
    #[builder(default = 60_000)]
    pub memory_mib: u32,
    /// Whether agents and entries are reached through relays, whose connections can be cut.
    #[builder(default)]
    pub relays: bool,
    /// Time for which the log keeps records, in seconds.
    #[builder(default = 3_600)]
    pub retention_s: u32,
}

impl Layout {
    /// Two zones in two regions: two entries, three backend servers, two workers.
    pub fn demo() -> Self {
        let zone = |region: &str, name: &str, backends| {
            Zone::builder()
                .region(region)
                .name(name)
                .entries(1)
                .backends(backends)
                .workers(1)
                .build()
        };
        Self::builder()
            .zones(vec![
                zone("khomas", "windhoek-1", 2),
                zone("erongo", "swakopmund-1", 1),
            ])
            .build()
    }

    /// Two zones in two regions, as many processes as the fault driver needs.
    pub fn faults() -> Self {
        let zone = |region: &str, name: &str, entries, backends, workers| {
            let zone = Zone::builder().region(region).name(name);
            zone.entries(entries)
                .backends(backends)
                .workers(workers)
                .build()
        };
        let zones = vec![
            zone("svealand", "stockholm", 2, 2, 2),
            zone("vastkust", "gothenburg", 1, 1, 1),
        ];
        Self::builder()
            .zones(zones)
            .relays(true)
            .millicores(4_000)
            .memory_mib(8_000)
            .build()
    }

    /// Two zones in one region and one in another, ten instances and ten large workers.
    pub fn kehilla() -> Self {
        let zones = [
            ("khomas", "windhoek-1", 4),
            ("khomas", "windhoek-2", 3),
            ("erongo", "swakopmund-1", 3),
        ];
        Self::builder()
            .zones(zones.map(even_zone).to_vec())
            .millicores(64_000)
            .memory_mib(250_000)
            .build()
    }

    /// Two zones in one region and one in another, ten instances and ten small workers.
    pub fn kattegatt() -> Self {
        let zones = [
            ("svealand", "stockholm", 4),
            ("svealand", "uppsala", 3),
            ("vastkust", "gothenburg", 3),
        ];
        Self::builder().zones(zones.map(even_zone).to_vec()).build()
    }
}

/// A zone with one entry and as many backend servers as workers.
fn even_zone((region, name, hosts): (&str, &str, usize)) -> Zone {
    Zone::builder()
        .region(region)
        .name(name)
        .entries(1)
        .backends(hosts)
        .workers(hosts)
        .build()
}
