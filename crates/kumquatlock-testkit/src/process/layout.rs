//! Plans the processes of a mesh on loopback: their names, addresses, availability zones and flags.

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

/// Maximum number of processes of one mesh, so that a test does not overload its host.
pub const MAX_MESH_PROCESSES: usize = 200;

/// A service of a mesh and its only route.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service. The route has the same name and the path prefix `/<name>`.
    pub name: String,
    /// Request class of the route.
    pub class: RequestClass,
}

/// Configures the size of a mesh and the flags of its processes.
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
    /// Returns a mesh of three voters in one region with one availability zone, without services.
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
    /// Returns a mesh with three regions of two availability zones each, and with the services
    /// catalogue, booking and orders with two upstreams each per region.
    pub fn three_regions() -> Self {
        MeshBuilder::default()
            .regions(&[("osrednja", 2), ("stajerska", 2), ("primorska", 2)])
            .service("catalogue", RequestClass::Lookup)
            .service("booking", RequestClass::AtMostOnce)
            .service("orders", RequestClass::AtMostOnce)
            .upstreams_per_region(2)
    }

    /// Sets the number of voters, which are distributed round-robin over the regions.
    pub fn voters(mut self, voters: usize) -> Self {
        self.voters = voters;
        self
    }

    /// Sets the number of replicas in each region.
    pub fn replicas_per_region(mut self, replicas: usize) -> Self {
        self.replicas_per_region = replicas;
        self
    }

    /// Sets the regions, each with its number of availability zones.
    pub fn regions(mut self, regions: &[(&str, usize)]) -> Self {
        let named_zones = regions
            .iter()
            .map(|(name, zones)| (name.to_string(), *zones));
        self.regions = named_zones.collect();
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

    /// Sets the number of slots and the service time of every upstream.
    pub fn upstream_capacity(mut self, slots: usize, service_time: Duration) -> Self {
        self.slots = slots;
        self.service_time = service_time;
        self
    }

    /// Adds a command-line argument to every control instance.
    pub fn control_argument(mut self, argument: &str) -> Self {
        self.control_arguments.push(argument.to_owned());
        self
    }

    /// Adds a command-line argument to every node.
    pub fn node_argument(mut self, argument: &str) -> Self {
        self.node_arguments.push(argument.to_owned());
        self
    }

    /// Assigns names, folders, addresses and availability zones to all processes.
    ///
    /// # Panics
    ///
    /// Panics if there is no voter, no region, a region without availability zones, or if the mesh
    /// has more than [`MAX_MESH_PROCESSES`] processes.
    pub fn build(self) -> Result<MeshPlan, ProcessError> {
        let has_zones = |region: &(String, usize)| region.1 > 0;
        assert!(self.voters > 0, "a mesh needs at least one voter");
        assert!(
            !self.regions.is_empty() && self.regions.iter().all(has_zones),
            "a mesh needs at least one region, and each region at least one availability zone"
        );
        let per_region = self.replicas_per_region + self.services.len() * self.upstreams_per_region;
        assert!(
            self.voters + self.regions.len() * per_region <= MAX_MESH_PROCESSES,
            "a mesh may have at most {MAX_MESH_PROCESSES} processes"
        );
        let dir = tempfile::Builder::new()
            .prefix("kumquatlock-mesh-")
            .tempdir()
            .map_err(ProcessError::prepare("the folder of the mesh"))?;
        let controls = self.plan_controls(dir.path())?;
        let nodes = self.plan_nodes(&controls)?;
        Ok(MeshPlan {
            dir,
            controls,
            nodes,
            services: self.services,
        })
    }

    fn plan_controls(&self, dir: &Path) -> Result<Vec<ControlPlan>, ProcessError> {
        let mut controls = Vec::new();
        for index in 0..self.voters {
            let name = format!("voter-{}", index + 1);
            let region = index % self.regions.len();
            let zone = index / self.regions.len();
            controls.push(self.plan_control(dir, name, ControlRole::Voter, (region, zone))?);
        }
        let voters: Vec<_> = controls.iter().map(ControlPlan::name_and_address).collect();
        for voter in &mut controls {
            voter.flags.voters = voters.clone();
        }
        for (region, (region_name, _)) in self.regions.iter().enumerate() {
            for index in 0..self.replicas_per_region {
                let name = format!("replica-{region_name}-{}", index + 1);
                let location = (region, index);
                let mut replica = self.plan_control(dir, name, ControlRole::Replica, location)?;
                replica.flags.parents = rotated(voters.iter().map(|voter| voter.1), region + index);
                controls.push(replica);
            }
        }
        Ok(controls)
    }

    fn plan_control(
        &self,
        dir: &Path,
        name: String,
        role: ControlRole,
        (region, zone): (usize, usize),
    ) -> Result<ControlPlan, ProcessError> {
        Ok(ControlPlan {
            flags: ControlFlags {
                listen: allocate_address(&name)?,
                http: allocate_address(&name)?,
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

    fn plan_nodes(&self, controls: &[ControlPlan]) -> Result<Vec<NodePlan>, ProcessError> {
        let ledger = RunLedger::default();
        let mut nodes = Vec::new();
        for service in &self.services {
            for (region, (region_name, _)) in self.regions.iter().enumerate() {
                for index in 0..self.upstreams_per_region {
                    let name = format!("{}-{region_name}-{}", service.name, index + 1);
                    let flags = NodeFlags {
                        listen: allocate_address(&name)?,
                        http: allocate_address(&name)?,
                        upstream_http: allocate_address(&name)?,
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

fn allocate_address(name: &str) -> Result<SocketAddr, ProcessError> {
    free_address().map_err(ProcessError::prepare(format!("a free address for {name}")))
}

/// Returns the parents of a node: the replicas of its region, if any, followed by all other control
/// instances.
fn parents_of(controls: &[ControlPlan], region: &str, index: usize) -> Vec<SocketAddr> {
    let is_regional_replica = |control: &&ControlPlan| {
        control.flags.role == ControlRole::Replica && control.flags.region == region
    };
    let (regional, others): (Vec<_>, Vec<_>) = controls.iter().partition(is_regional_replica);
    // Rotates both lists by the index of the node, so that the nodes are distributed evenly over
    // the parents.
    let mut parents = rotated(regional.iter().map(|plan| plan.flags.listen), index);
    parents.extend(rotated(others.iter().map(|plan| plan.flags.listen), index));
    parents
}

fn rotated(addresses: impl Iterator<Item = SocketAddr>, positions: usize) -> Vec<SocketAddr> {
    let mut addresses: Vec<_> = addresses.collect();
    let shift = positions.checked_rem(addresses.len()).unwrap_or(0);
    addresses.rotate_left(shift);
    addresses
}

/// A control instance that has not been started.
#[derive(Clone, Debug)]
pub struct ControlPlan {
    /// Flags of the process.
    pub flags: ControlFlags,
}

impl ControlPlan {
    fn name_and_address(&self) -> (String, SocketAddr) {
        (self.flags.name.clone(), self.flags.listen)
    }
}

/// A node that has not been started, with its upstream.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Flags of the process.
    pub flags: NodeFlags,
    /// Settings of the node's upstream.
    pub upstream: UpstreamOptions,
}

/// A planned mesh. A test can change the flags before it starts the mesh, for example to insert a
/// [`crate::relay::TcpRelay`] between two processes.
#[derive(Debug)]
pub struct MeshPlan {
    /// Folder of the data and logs, which is removed when the mesh is dropped.
    pub dir: TempDir,
    /// Control instances, voters first.
    pub controls: Vec<ControlPlan>,
    /// Nodes, ordered by service, then by region.
    pub nodes: Vec<NodePlan>,
    /// Services of the mesh.
    pub services: Vec<ServicePlan>,
}

impl MeshPlan {
    /// Returns a manifest with all services of the mesh and their routes.
    pub fn manifest(&self, version: u64) -> Value {
        manifest(&self.services, version)
    }

    /// Starts all processes and upstreams and waits until each process responds to requests.
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
