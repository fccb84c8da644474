//! The process of a control instance.
//!
//! One stakker actor ([`actor`]) owns the components of the process. They are state machines
//! without I/O, and the actor executes the steps that they return. A step may cause events for
//! another component. These wait in one queue and are handled after the steps of the current event,
//! so that no component is re-entered.
//!
//! - [`voter`] drives the replicated log and writes its journal. Writes are synchronous: one takes
//!   about 0.1 ms, and the messages that depend on it are sent afterwards.
//! - [`peers`] keeps one outbound link to each other voter; [`links`] handles the events of all
//!   links according to their roles.
//! - [`children`] executes the steps of the configuration stream: towards the children and, on a
//!   replica, towards the parent.
//! - [`requests`] is the table of requests that wait for an answer; [`relay`] answers requests
//!   locally or forwards them towards the leader.
//! - [`submissions`] carries out the leader's decisions on submissions, and [`submission_log`] logs
//!   each step of a submission.
//! - [`operator`] parses HTTP requests of operators, and [`answer`] builds the answers.

mod actor;
mod answer;
mod children;
mod clock;
mod http;
mod links;
mod metrics;
mod operator;
mod peers;
mod process;
mod quarantine;
mod quota;
mod quota_metrics;
mod relay;
mod requests;
mod rollouts;
mod settings;
mod stop;
mod submission_log;
mod submissions;
mod voter;

pub use operator::{OperatorAdapter, OperatorRequest, SUBMIT_PATH};
pub use process::{ControlError, run_control};
pub use settings::{
    ControlFlags, ControlSettings, ControlSettingsError, FoundingChoice, InstanceRole, RoleSettings,
};

#[cfg(test)]
mod tests;
