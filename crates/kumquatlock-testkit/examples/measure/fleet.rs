//! A catalog with the upstreams and services of a whole fleet, and the commands that change it.

use kumquatlock::catalog::{Catalog, CatalogUpdate, EncodedSnapshot};
use kumquatlock::core::{ConfigSnapshot, ConfigVersion};
use kumquatlock_wire::distribution::{
    CatalogCommand, CatalogState, Delta, UpstreamItem, UpstreamReport, WireState,
    catalog_command::Kind,
};
use kumquatlock_wire::{Body, Envelope};
use prost::Message;
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::json;

/// Numbers of regions and availability zones in the design target.
const REGIONS: usize = 4;
const ZONES: usize = 14;
/// Size of the length prefix of a frame.
const FRAME_HEADER_BYTES: usize = 4;
/// First incarnation of each upstream. Incarnations are wall-clock times in milliseconds, and a
/// value of this size is encoded with the usual length.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// Number of upstreams that restart concurrently in a sequence of restarts.
const CONCURRENT_RESTARTS: usize = 20;

/// Numbers of upstreams and services in a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) upstreams: usize,
    pub(crate) services: usize,
}

/// The catalog of a fleet, with the state that is needed to generate changes to it.
pub(crate) struct FleetCatalog {
    pub(crate) catalog: Catalog,
    pub(crate) size: FleetSize,
    incarnations: Vec<u64>,
    manifest_version: u64,
    /// Upstream that each of the concurrent restarts currently affects.
    restarting: [usize; CONCURRENT_RESTARTS],
}

impl FleetCatalog {
    pub(crate) fn new(size: FleetSize) -> Self {
        let mut fleet = FleetCatalog {
            catalog: Catalog::new(),
            size,
            incarnations: vec![FIRST_INCARNATION; size.upstreams],
            manifest_version: 0,
            restarting: [0; CONCURRENT_RESTARTS],
        };
        let manifest = fleet.next_manifest();
        fleet.apply(&manifest);
        for upstream in 0..size.upstreams {
            let command = fleet.report_command(upstream, WireState::Serving);
            fleet.apply(&command);
        }
        fleet
    }

    /// Returns the name of an upstream, which consists of its service and a number.
    pub(crate) fn upstream_name(&self, upstream: usize) -> String {
        format!("{}-{upstream}", self.service_name(upstream))
    }

    pub(crate) fn service_name(&self, upstream: usize) -> String {
        format!("service-{}", upstream % self.size.services)
    }

    /// Returns the next manifest, which differs from the previous one in the prefix of one route.
    pub(crate) fn next_manifest(&mut self) -> CatalogCommand {
        self.manifest_version += 1;
        let version = self.manifest_version;
        let services = (0..self.size.services).map(|number| {
            let name = format!("service-{number}");
            json!({"name": name, "upstreams": [format!("{name}-*")]})
        });
        let routes = (0..self.size.services).map(|number| {
            let prefix = match number {
                0 => format!("/path-{number}/v{version}"),
                _ => format!("/path-{number}"),
            };
            json!({"name": format!("route-{number}"), "prefix": prefix, "class": "lookup",
                "service": format!("service-{number}")})
        });
        let (services, routes): (Vec<_>, Vec<_>) = (services.collect(), routes.collect());
        let text = json!({"version": version, "services": services, "routes": routes}).to_string();
        let kind = Some(Kind::Manifest(text.into()));
        CatalogCommand { kind }
    }

    pub(crate) fn report_command(&self, upstream: usize, state: WireState) -> CatalogCommand {
        let zone = upstream / self.size.services % ZONES;
        let region = zone % REGIONS;
        let item = UpstreamItem {
            name: self.upstream_name(upstream),
            service: self.service_name(upstream),
            zone: format!("region-{region}-zone-{zone}"),
            region: format!("region-{region}"),
            node_address: format!("10.{}.{}.7:7000", upstream / 250, upstream % 250),
            incarnation: self.incarnations[upstream],
            slots: 10,
            state: state as i32,
            first_in_region: false,
            version: String::new(),
        };
        let kind = Some(Kind::Report(UpstreamReport {
            upstream: item,
            ..UpstreamReport::default()
        }));
        CatalogCommand { kind }
    }

    pub(crate) fn apply(&mut self, command: &CatalogCommand) {
        let index = self.catalog.applied_index() + 1;
        std::hint::black_box(self.catalog.apply(index, command));
    }

    /// Returns a report of the upstream with a new incarnation, which is one change of the catalog.
    pub(crate) fn restart_command(&mut self, upstream: usize) -> CatalogCommand {
        self.incarnations[upstream] += 1;
        self.report_command(upstream, WireState::Serving)
    }

    /// Applies the next change in a sequence of restarts. Each restarting upstream drains, leaves
    /// and serves again. Several upstreams restart concurrently, so that the changes of one
    /// upstream are not adjacent.
    pub(crate) fn apply_next_restart_change(&mut self, step: usize, random: &mut SmallRng) {
        let (restart, phase) = (step % CONCURRENT_RESTARTS, step / CONCURRENT_RESTARTS % 3);
        if phase == 0 {
            let upstream = random.random_range(0..self.size.upstreams);
            self.restarting[restart] = upstream;
        }
        let upstream = self.restarting[restart];
        let command = match phase {
            0 => self.report_command(upstream, WireState::Draining),
            1 => self.report_command(upstream, WireState::Left),
            _ => self.restart_command(upstream),
        };
        self.apply(&command);
    }

    /// Returns the delta since `base`, or `None` if the catalog has no delta for it.
    pub(crate) fn delta_since(&self, base: ConfigVersion) -> Option<Delta> {
        match self.catalog.delta_since(base) {
            CatalogUpdate::Delta(delta) => Some(delta),
            CatalogUpdate::Current | CatalogUpdate::Snapshot => None,
        }
    }
}

/// Returns the size of a message on the wire in bytes, including the frame header.
pub(crate) fn frame_bytes(body: Body) -> usize {
    Envelope::from(body).encoded_len() + FRAME_HEADER_BYTES
}

/// Decodes a snapshot in the same way as a node.
pub(crate) fn decode_snapshot(encoded: &EncodedSnapshot) -> ConfigSnapshot {
    let state = CatalogState::decode(encoded.bytes.clone()).expect("the state was just encoded");
    ConfigSnapshot::from_state(&state, encoded.digest).expect("a snapshot of the catalog is valid")
}
