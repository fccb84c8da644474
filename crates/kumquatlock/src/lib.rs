//! Coordination parts of a configuration distribution system for a service mesh.
//!
//! Each duty is a module of its own that holds the duty's state, its decisions and its tests.
//! Decisions read no clock, socket, file or global random source: time, events and a seeded
//! generator go in, steps come out. The runtime modules (`transport`, `http`, `ops`) connect
//! the duties with sockets and threads; embedders may use the duties without them.
//!
//! The modules meet as follows. A manifest is checked by `manifest`, ordered by `agreement` on
//! top of `journal`, and applied by `catalog`. `distribution` carries the catalog's changes
//! from parent to child as a [`core::ConfigSnapshot`] that is swapped whole. `membership` feeds
//! upstreams' announcements and losses back into the log. A call is routed by `routing`, bounded
//! by `admission` and `retry`, protected from repetition by `claim`, and driven by `call`.

pub mod claim;
pub mod core;
