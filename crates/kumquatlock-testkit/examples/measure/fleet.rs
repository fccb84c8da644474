//! A catalog of the size of a fleet, and changes to it.

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

/// Regions and availability zones of the design target.
const REGIONS: usize = 4;
const ZONES: usize = 14;
/// Length prefix of a frame, in bytes.
const FRAME_HEADER_BYTES: usize = 4;
/// Wall clock in milliseconds that incarnations start from; keeps them at their usual length.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// Upstreams that restart at the same time in a stream of restarts.
const RESTARTS_AT_ONCE: usize = 20;

/// Upstreams and services.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) upstreams: usize,
    pub(crate) services: usize,
}

/// A catalog with what is needed to change it.
pub(crate) struct FleetCatalog {
    pub(crate) catalog: Catalog,
    pub(crate) size: FleetSize,
    incarnations: Vec<u64>,
    manifest_version: u64,
    /// Upstream that each lane of the restarts is at.
    restarting: [usize; RESTARTS_AT_ONCE],
}

impl FleetCatalog {
    pub(crate) fn new(size: FleetSize) -> Self {
        let mut fleet = FleetCatalog {
            catalog: Catalog::new(),
            size,
            incarnations: vec![FIRST_INCARNATION; size.upstreams],
            manifest_version: 0,
            restarting: [0; RESTARTS_AT_ONCE],
        };
        let manifest = fleet.next_manifest();
        fleet.apply(&manifest);
        for upstream in 0..size.upstreams {
            let command = fleet.report(upstream, WireState::Serving);
            fleet.apply(&command);
        }
        fleet
    }

    /// Name of an upstream: the service and a number.
    pub(crate) fn name(&self, upstream: usize) -> String {
        format!("{}-{upstream}", self.service(upstream))
    }

    pub(crate) fn service(&self, upstream: usize) -> String {
        format!("service-{}", upstream % self.size.services)
    }

    /// A manifest that differs from the last one in the prefix of one route.
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

    pub(crate) fn report(&self, upstream: usize, state: WireState) -> CatalogCommand {
        let zone = upstream / self.size.services % ZONES;
        let region = zone % REGIONS;
        let item = UpstreamItem {
            name: self.name(upstream),
            service: self.service(upstream),
            zone: format!("region-{region}-zone-{zone}"),
            region: format!("region-{region}"),
            node_address: format!("10.{}.{}.7:7000", upstream / 250, upstream % 250),
            incarnation: self.incarnations[upstream],
            slots: 10,
            state: state as i32,
            first_in_region: false,
        };
        let kind = Some(Kind::Report(UpstreamReport { upstream: item }));
        CatalogCommand { kind }
    }

    pub(crate) fn apply(&mut self, command: &CatalogCommand) {
        let index = self.catalog.applied_index() + 1;
        std::hint::black_box(self.catalog.apply(index, command));
    }

    /// One change: an upstream with a new incarnation.
    pub(crate) fn restart_command(&mut self, upstream: usize) -> CatalogCommand {
        self.incarnations[upstream] += 1;
        self.report(upstream, WireState::Serving)
    }

    /// The next change of a stream of restarts, each of which drains, leaves and serves again.
    /// Several upstreams restart at once, so that the changes of one are not adjacent.
    pub(crate) fn next_restart_change(&mut self, step: usize, random: &mut SmallRng) {
        let (lane, phase) = (step % RESTARTS_AT_ONCE, step / RESTARTS_AT_ONCE % 3);
        if phase == 0 {
            let upstream = random.random_range(0..self.size.upstreams);
            self.restarting[lane] = upstream;
        }
        let upstream = self.restarting[lane];
        let command = match phase {
            0 => self.report(upstream, WireState::Draining),
            1 => self.report(upstream, WireState::Left),
            _ => self.restart_command(upstream),
        };
        self.apply(&command);
    }

    pub(crate) fn delta(&self, base: ConfigVersion) -> Option<Delta> {
        match self.catalog.delta_since(base) {
            CatalogUpdate::Delta(delta) => Some(delta),
            CatalogUpdate::Current | CatalogUpdate::Snapshot => None,
        }
    }
}

/// Bytes of a message on the wire.
pub(crate) fn frame_bytes(body: Body) -> usize {
    Envelope::from(body).encoded_len() + FRAME_HEADER_BYTES
}

/// What a node makes of an encoded snapshot.
pub(crate) fn decode_snapshot(encoded: &EncodedSnapshot) -> ConfigSnapshot {
    let state = CatalogState::decode(encoded.bytes.clone()).expect("the state was just encoded");
    ConfigSnapshot::from_state(&state, encoded.digest).expect("the catalog is closed")
}
