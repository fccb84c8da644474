//! Components of a service mesh whose nodes all route by one agreed configuration.
//!
//! Each component is a module with its own state, logic and tests. The logic reads no clock,
//! socket, file or global random source: it takes the time, events and a seeded random generator as
//! arguments, and returns the steps for the caller to execute. The runtime modules (`transport`,
//! `http`, `ops`) connect the components with sockets and threads. The components can also be
//! embedded without the runtime modules.
//!
//! A manifest is validated by `manifest`, decided on by `submission`, ordered by `agreement`,
//! which stores its log with `journal`, and applied by `catalog`. `distribution` sends the changes of the catalog from parent
//! to child, where they are applied atomically as a new [`core::ConfigSnapshot`]. `membership`
//! feeds the announcements and losses of upstreams back into the replicated log. A call is driven
//! by `call`: `account` identifies its sender, `quota` limits the sender's requests, `routing`
//! selects its destination, `admission` and `retry` limit the load that it causes, `dependency`
//! holds back calls whose own calls would find no room, and `claim` prevents a keyed request from
//! running more than once.

pub mod account;
pub mod admission;
pub mod agreement;
pub mod call;
pub mod catalog;
pub mod claim;
pub mod core;
pub mod dependency;
pub mod distribution;
pub mod http;
pub mod journal;
pub mod manifest;
pub mod membership;
pub mod memory;
pub mod ops;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod submission;
pub mod transport;
pub mod util;
