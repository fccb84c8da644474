//! Names and identifiers.

use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::BuildHasher;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

/// Shared immutable name of an instance, upstream, service, route, zone or region.
pub type SharedName = Arc<str>;

/// Returns the name of an instance that is known only by its address, such as `10.1.0.11-7620`.
pub fn name_from_address(address: SocketAddrV4) -> SharedName {
    format!("{}-{}", address.ip(), address.port()).into()
}

/// Parses the address from a name made by [`name_from_address`]; `None` for any other name.
pub fn address_from_name(name: &str) -> Option<SocketAddr> {
    let (ip, port) = name.split_once('-')?;
    let address = SocketAddrV4::new(ip.parse().ok()?, port.parse().ok()?);
    Some(address.into())
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number_id! {
    /// Position of the latest applied log entry that changed the catalog. Zero means none.
    ConfigVersion
}
number_id! {
    /// Identity of a voter group, chosen at random when the group is formed. Zero means none.
    GroupId
}
number_id! {
    /// Identifies one run of a node or other process. Increases with every restart under the same
    /// name.
    IncarnationId
}
number_id! {
    /// Identifies one process of a node. Chosen at random at its start, unlike an incarnation, which
    /// two processes can share if a clock was set back between them. Zero means unknown.
    ProcessId
}

/// Number of random bits of a [`ProcessId`], which take 7 bytes on the wire.
const PROCESS_ID_BITS: u32 = 48;

impl ProcessId {
    /// Chooses the identity of this process.
    pub fn random() -> Self {
        // The keys of the hasher come from the random source of the operating system.
        let random = RandomState::new().hash_one(std::process::id());
        ProcessId((random >> (u64::BITS - PROCESS_ID_BITS)).max(1))
    }
}
