//! Number and placement of the processes of a cluster.

use bon::Builder;

/// An availability zone of a cluster.
#[derive(Debug, Clone, Builder)]
pub struct Zone {
    /// Name of the region.
    #[builder(into)]
    pub region: String,
    /// Name of the zone.
    #[builder(into)]
    pub name: String,
    /// Number of entries.
    pub entries: usize,
    /// Number of backend servers, each with an agent.
    pub backends: usize,
    /// Number of workers, each with an agent.
    pub workers: usize,
}

/// Layout of a cluster.
#[derive(Debug, Clone, Builder)]
pub struct Layout {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Maximum number of concurrent requests of a backend server.
    #[builder(default = 8)]
    pub slots: u32,
    /// Shortest and longest service time of a backend server.
    #[builder(default = (2_000, 8_000))]
    pub service_us: (u32, u32),
    /// CPU capacity of a worker.
    #[builder(default = 16_000)]
    pub millicores: u32,
    /// Memory capacity of a worker.
    #[builder(default = 60_000)]
    pub memory_mib: u32,
    /// Whether agents and entries are reached through relays, so that connection faults can be
    /// injected.
    #[builder(default)]
    pub relays: bool,
    /// Retention of the log.
    #[builder(default = 3_600)]
    pub retention_s: u32,
}

impl Layout {
    /// Returns a layout with two zones in two regions: two entries, three backend servers, two
    /// workers.
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

    /// Returns the layout for the fault driver: two zones in two regions, with relays and small
    /// workers.
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

    /// Returns a layout with two zones in one region and one in another: ten backend servers and
    /// ten large workers.
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

    /// Returns a layout with two zones in one region and one in another: ten backend servers and
    /// ten small workers.
    pub fn kattegatt() -> Self {
        let zones = [
            ("svealand", "stockholm", 4),
            ("svealand", "uppsala", 3),
            ("vastkust", "gothenburg", 3),
        ];
        Self::builder().zones(zones.map(even_zone).to_vec()).build()
    }
}

/// Returns a zone with one entry and as many backend servers as workers.
fn even_zone((region, name, hosts): (&str, &str, usize)) -> Zone {
    Zone::builder()
        .region(region)
        .name(name)
        .entries(1)
        .backends(hosts)
        .workers(hosts)
        .build()
}
