//! Starts the processes of a cluster with their flags.

use std::net::SocketAddr;

use super::cluster::{Cluster, ClusterError, OPERATOR_TOKEN};
use super::{BackendNode, EntryNode, WorkerNode};
use crate::process::Child;
use crate::relay::Relay;

impl Cluster {
    /// Starts an entry in the zone with index `zone`.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start_entry(&mut self, zone: usize) -> Result<EntryNode, ClusterError> {
        let (callers, operators, rpc) =
            (self.ports.free()?, self.ports.free()?, self.ports.free()?);
        let relay = self.start_relay(rpc)?;
        let advertise = relay.as_ref().map_or(rpc, |relay| relay.address);
        let mut args = vec![
            format!("--caller-listen={callers}"),
            format!("--operator-listen={operators}"),
            format!("--rpc-listen={rpc}"),
            format!("--advertise={advertise}"),
            format!("--seeds={}", self.seeds()),
            format!("--log={}", self.log_address),
            format!("--operator-token={OPERATOR_TOKEN}"),
            "--leave-ms=200".to_owned(),
        ];
        args.extend(self.site_args(zone));
        let process = self.start_child("entry", "agate-entry", &args)?;
        Ok(EntryNode {
            process,
            callers,
            operators,
            rpc,
            relay,
            zone,
        })
    }

    pub(super) fn start_backend(&mut self, zone: usize) -> Result<BackendNode, ClusterError> {
        let address = self.ports.free()?;
        let (low, high) = self.layout.service_us;
        let args = vec![
            format!("--listen={address}"),
            format!("--slots={}", self.layout.slots),
            format!("--service-low-us={low}"),
            format!("--service-high-us={high}"),
            format!("--seed={}", self.launched),
        ];
        let backend = self.start_child("backend", "standin-backend", &args)?;
        let (agent, relay) = self.start_backend_agent(zone, address)?;
        Ok(BackendNode {
            backend,
            agent,
            address,
            relay,
            zone,
        })
    }

    /// Starts the agent of the backend server at `local`.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start_backend_agent(
        &mut self,
        zone: usize,
        local: SocketAddr,
    ) -> Result<(Child, Option<Relay>), ClusterError> {
        let slots = format!("--slots={}", self.layout.slots);
        self.start_agent(
            zone,
            local,
            vec![
                "--host=backend".to_owned(),
                slots,
                "--connections=64".to_owned(),
            ],
        )
    }

    pub(super) fn start_worker(&mut self, zone: usize) -> Result<WorkerNode, ClusterError> {
        let address = self.ports.free()?;
        let args = vec![format!("--listen={address}")];
        let worker = self.start_child("worker", "standin-worker", &args)?;
        let (agent, relay) = self.start_worker_agent(zone, address)?;
        Ok(WorkerNode {
            worker,
            agent,
            address,
            relay,
            zone,
        })
    }

    /// Starts the agent of the worker at `local`.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start_worker_agent(
        &mut self,
        zone: usize,
        local: SocketAddr,
    ) -> Result<(Child, Option<Relay>), ClusterError> {
        let args = vec![
            "--host=worker".to_owned(),
            format!("--millicores={}", self.layout.millicores),
            format!("--memory={}", self.layout.memory_mib),
        ];
        self.start_agent(zone, local, args)
    }

    fn start_agent(
        &mut self,
        zone: usize,
        local: SocketAddr,
        mut args: Vec<String>,
    ) -> Result<(Child, Option<Relay>), ClusterError> {
        let listen = self.ports.free()?;
        let relay = self.start_relay(listen)?;
        args.push(format!("--listen={listen}"));
        if let Some(relay) = &relay {
            args.push(format!("--advertise={}", relay.address));
        }
        args.push(format!("--local={local}"));
        args.push(format!("--seeds={}", self.seeds()));
        args.extend(self.site_args(zone));
        Ok((self.start_child("agent", "agate-agent", &args)?, relay))
    }

    fn start_relay(&self, target: SocketAddr) -> Result<Option<Relay>, ClusterError> {
        if !self.layout.relays {
            return Ok(None);
        }
        Ok(Some(Relay::start(target)?))
    }

    fn start_child(
        &mut self,
        role: &str,
        binary: &str,
        args: &[String],
    ) -> Result<Child, ClusterError> {
        self.launched += 1;
        Ok(Child::start(
            &format!("{role}-{:03}", self.launched),
            binary,
            args,
            &self.logs,
        )?)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|entry| {
                entry
                    .relay
                    .as_ref()
                    .map_or(entry.rpc, |relay| relay.address)
                    .to_string()
            })
            .collect();
        seeds.join(",")
    }

    fn site_args(&self, zone: usize) -> [String; 2] {
        let zone = &self.layout.zones[zone];
        [
            format!("--region={}", zone.region),
            format!("--zone={}", zone.name),
        ]
    }
}
