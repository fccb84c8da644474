//! Placing a mesh on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use kumquatlock::core::RequestClass;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::flags::{ControlFlags, ControlRole, NodeFlags};
use super::ports::free_address;
use super::{Mesh, ProcessError};
use crate::upstream::{RunLedger, UpstreamOptions};

/// Bound on the processes of one mesh, so that a test does not fill the machine.
pub const MAX_MESH_PROCESSES: usize = 200;

/// A service of a mesh and its one route.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service; its route has the same name and the prefix `/<name>`.
    pub name: String,
    /// Class of the route.
    pub class: RequestClass,
}

/// Chooses the size of a mesh.
#[derive(Clone, Debug)]
pub struct MeshBuilder {
    voters: usize,
    replicas_per_region: usize,
    regions: Vec<(String, usize)>,
    services: Vec<ServicePlan>,
    upstreams_per_region: usize,
    slots: usize,
    service_time: Duration,
    control_arguments: Vec<String>,
    node_arguments: Vec<String>,
}

impl Default for MeshBuilder {
    /// Three voters and no services in one region with one availability zone.
    fn default() -> Self {
        MeshBuilder {
            voters: 3,
            replicas_per_region: 0,
            regions: vec![("osrednja".to_owned(), 1)],
            services: Vec::new(),
            upstreams_per_region: 1,
            slots: 10,
            service_time: Duration::from_millis(2),
            control_arguments: Vec::new(),
            node_arguments: Vec::new(),
        }
    }
}

impl MeshBuilder {
    /// The mesh of Kranjc: three regions with two availability zones each and the services
    /// catalogue, booking and orders with two upstreams per region.
    pub fn three_regions() -> Self {
        MeshBuilder::default()
            .regions(&[("osrednja", 2), ("stajerska", 2), ("primorska", 2)])
            .service("catalogue", RequestClass::Lookup)
            .service("booking", RequestClass::AtMostOnce)
            .service("orders", RequestClass::AtMostOnce)
            .upstreams_per_region(2)
    }

    /// Sets the number of voters, which are spread over the regions.
    pub fn voters(mut self, voters: usize) -> Self {
        self.voters = voters;
        self
    }

    /// Sets the number of replicas of each region.
    pub fn replicas_per_region(mut self, replicas: usize) -> Self {
        self.replicas_per_region = replicas;
        self
    }

    /// Sets the regions with their numbers of availability zones.
    pub fn regions(mut self, regions: &[(&str, usize)]) -> Self {
        let owned = regions
            .iter()
            .map(|(name, zones)| (name.to_string(), *zones));
        self.regions = owned.collect();
        self
    }

    /// Adds a service.
    pub fn service(mut self, name: &str, class: RequestClass) -> Self {
        self.services.push(ServicePlan {
            name: name.to_owned(),
            class,
        });
        self
    }

    /// Sets the number of upstreams of each service in each region.
    pub fn upstreams_per_region(mut self, upstreams: usize) -> Self {
        self.upstreams_per_region = upstreams;
        self
    }

    /// Sets slots and service time of every upstream.
    pub fn upstream_capacity(mut self, slots: usize, service_time: Duration) -> Self {
        self.slots = slots;
        self.service_time = service_time;
        self
    }

    /// Adds an argument to every control instance.
    pub fn control_argument(mut self, argument: &str) -> Self {
        self.control_arguments.push(argument.to_owned());
        self
    }

    /// Adds an argument to every node.
    pub fn node_argument(mut self, argument: &str) -> Self {
        self.node_arguments.push(argument.to_owned());
        self
    }

    /// Takes names, folders and addresses for all processes.
    ///
    /// # Panics
    ///
    /// Panics if there is no voter, no region, a region without availability zones, or more than
    /// [`MAX_MESH_PROCESSES`] processes.
    pub fn build(self) -> Result<MeshPlan, ProcessError> {
        let zones_of = |region: &(String, usize)| region.1 > 0;
        assert!(self.voters > 0, "a mesh needs a voter");
        assert!(
            !self.regions.is_empty() && self.regions.iter().all(zones_of),
            "a mesh needs regions with availability zones"
        );
        let per_region = self.replicas_per_region + self.services.len() * self.upstreams_per_region;
        assert!(
            self.voters + self.regions.len() * per_region <= MAX_MESH_PROCESSES,
            "a mesh has at most {MAX_MESH_PROCESSES} processes"
        );
        let dir = tempfile::Builder::new()
            .prefix("kumquatlock-mesh-")
            .tempdir()
            .map_err(ProcessError::prepare("the folder of the mesh"))?;
        let controls = self.place_controls(dir.path())?;
        let nodes = self.place_nodes(&controls)?;
        Ok(MeshPlan {
            dir,
            controls,
            nodes,
            services: self.services,
        })
    }

    fn place_controls(&self, dir: &Path) -> Result<Vec<ControlPlan>, ProcessError> {
        let mut controls = Vec::new();
        for index in 0..self.voters {
            let name = format!("voter-{}", index + 1);
            let region = index % self.regions.len();
            let zone = index / self.regions.len();
            controls.push(self.place_control(dir, name, ControlRole::Voter, (region, zone))?);
        }
        let voters: Vec<_> = controls
            .iter()
            .map(ControlPlan::address_from_name)
            .collect();
        for voter in &mut controls {
            voter.flags.voters = voters.clone();
        }
        for (region, (region_name, _)) in self.regions.iter().enumerate() {
            for index in 0..self.replicas_per_region {
                let name = format!("replica-{region_name}-{}", index + 1);
                let place = (region, index);
                let mut replica = self.place_control(dir, name, ControlRole::Replica, place)?;
                replica.flags.parents = rotated(voters.iter().map(|voter| voter.1), region + index);
                controls.push(replica);
            }
        }
        Ok(controls)
    }

    fn place_control(
        &self,
        dir: &Path,
        name: String,
        role: ControlRole,
        (region, zone): (usize, usize),
    ) -> Result<ControlPlan, ProcessError> {
        Ok(ControlPlan {
            flags: ControlFlags {
                listen: address_for(&name)?,
                http: address_for(&name)?,
                data_dir: dir.join("data").join(&name),
                name,
                role,
                voters: Vec::new(),
                parents: Vec::new(),
                zone: self.zone_name(region, zone),
                region: self.regions[region].0.clone(),
                extra: self.control_arguments.clone(),
            },
        })
    }

    fn place_nodes(&self, controls: &[ControlPlan]) -> Result<Vec<NodePlan>, ProcessError> {
        let ledger = RunLedger::default();
        let mut nodes = Vec::new();
        for service in &self.services {
            for (region, (region_name, _)) in self.regions.iter().enumerate() {
                for index in 0..self.upstreams_per_region {
                    let name = format!("{}-{region_name}-{}", service.name, index + 1);
                    let flags = NodeFlags {
                        listen: address_for(&name)?,
                        http: address_for(&name)?,
                        upstream_http: address_for(&name)?,
                        parents: parents_of(controls, region_name, nodes.len()),
                        zone: self.zone_name(region, index),
                        region: region_name.clone(),
                        extra: self.node_arguments.clone(),
                        name,
                    };
                    let upstream = UpstreamOptions {
                        slots: self.slots,
                        service_time: self.service_time,
                        seed: nodes.len() as u64,
                        ledger: ledger.clone(),
                        ..UpstreamOptions::new(&flags.name, &service.name)
                    };
                    nodes.push(NodePlan { flags, upstream });
                }
            }
        }
        Ok(nodes)
    }

    fn zone_name(&self, region: usize, index: usize) -> String {
        let (name, zones) = &self.regions[region];
        format!("{name}-{}", index % zones + 1)
    }
}

fn address_for(name: &str) -> Result<SocketAddr, ProcessError> {
    free_address().map_err(ProcessError::prepare(format!("an address of {name}")))
}

/// Parents of a node: the replicas of its region, or the voters if there are none, followed by
/// all other control instances.
fn parents_of(controls: &[ControlPlan], region: &str, index: usize) -> Vec<SocketAddr> {
    let is_preferred = |control: &&ControlPlan| {
        control.flags.role == ControlRole::Replica && control.flags.region == region
    };
    let (preferred, others): (Vec<_>, Vec<_>) = controls.iter().partition(is_preferred);
    // Each node begins at another parent, so that the children are spread evenly.
    let mut parents = rotated(preferred.iter().map(|plan| plan.flags.listen), index);
    parents.extend(rotated(others.iter().map(|plan| plan.flags.listen), index));
    parents
}

fn rotated(addresses: impl Iterator<Item = SocketAddr>, by: usize) -> Vec<SocketAddr> {
    let mut addresses: Vec<_> = addresses.collect();
    let middle = by.checked_rem(addresses.len()).unwrap_or(0);
    addresses.rotate_left(middle);
    addresses
}

/// One control instance to be.
#[derive(Clone, Debug)]
pub struct ControlPlan {
    /// Its command line.
    pub flags: ControlFlags,
}

impl ControlPlan {
    fn address_from_name(&self) -> (String, SocketAddr) {
        (self.flags.name.clone(), self.flags.listen)
    }
}

/// One node to be, with its upstream.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Its command line.
    pub flags: NodeFlags,
    /// Its upstream.
    pub upstream: UpstreamOptions,
}

/// A placed mesh. A test may change the flags before it starts the mesh, for example to put a
/// [`crate::relay::TcpRelay`] between two processes.
#[derive(Debug)]
pub struct MeshPlan {
    /// Folder of data and logs; removed with the mesh.
    pub dir: TempDir,
    /// Control instances, voters first.
    pub controls: Vec<ControlPlan>,
    /// Nodes by service, then region.
    pub nodes: Vec<NodePlan>,
    /// Services.
    pub services: Vec<ServicePlan>,
}

impl MeshPlan {
    /// A manifest with all services and their routes.
    pub fn manifest(&self, version: u64) -> Value {
        manifest(&self.services, version)
    }

    /// Starts all processes and upstreams and waits until each process answers.
    pub fn start(self) -> Result<Mesh, ProcessError> {
        Mesh::start(self)
    }
}

pub(super) fn manifest(plans: &[ServicePlan], version: u64) -> Value {
    let services = plans.iter().map(|plan| {
        let pattern = format!("{}-*", plan.name);
        json!({ "name": plan.name, "upstreams": [pattern] })
    });
    let routes = plans.iter().map(|plan| {
        let prefix = format!("/{}", plan.name);
        json!({
            "name": plan.name, "prefix": prefix, "class": plan.class, "service": plan.name,
        })
    });
    json!({
        "version": version,
        "services": services.collect::<Vec<_>>(),
        "routes": routes.collect::<Vec<_>>(),
    })
}
