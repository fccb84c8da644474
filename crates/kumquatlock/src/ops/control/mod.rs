//! The process of a control instance.
//!
//! One stakker actor ([`actor`]) owns every duty of the process as a plain struct and carries
//! out the steps that they return. A step may cause events for another duty; they wait in one
//! queue and are handled after the steps of the present event, so no duty is entered twice.
//!
//! - [`voter`] feeds the replicated log and writes its journal. Writes are synchronous: one takes
//!   about 0.1 ms, and what depends on it leaves afterwards.
//! - [`peers`] keeps one outbound link to each other voter; [`links`] tells the links apart.
//! - [`children`] carries out the steps of the configuration stream, towards the children and, on
//!   a replica, towards the parent.
//! - [`requests`] holds what waits for an answer; [`relay`] answers it here or passes it on
//!   towards the leader.
//! - [`operator`] reads HTTP requests of operators and [`answer`] words the answers.

mod actor;
mod answer;
mod children;
mod clock;
mod links;
mod metrics;
mod operator;
mod peers;
mod process;
mod relay;
mod requests;
mod settings;
mod stop;
mod voter;

pub use operator::{OperatorAdapter, OperatorRequest, SUBMIT_PATH};
pub use process::{ControlError, run_control};
pub use settings::{
    ControlFlags, ControlSettings, ControlSettingsError, FoundingChoice, InstanceRole, RoleSettings,
};

#[cfg(test)]
mod tests;
