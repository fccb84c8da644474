//! Command lines of the binaries.
//!
//! This is the only place of the testkit that knows the flags.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Role of a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRole {
    /// Has a disk and votes.
    Voter,
    /// Serves reads and has no vote.
    Replica,
}

/// Flags of `kumquatlock-control serve`.
#[derive(Clone, Debug)]
pub struct ControlFlags {
    /// Name of the instance.
    pub name: String,
    /// Address for other processes of the mesh.
    pub listen: SocketAddr,
    /// Address for operators and metrics.
    pub http: SocketAddr,
    /// Folder of the instance's state.
    pub data_dir: PathBuf,
    /// Role of the instance.
    pub role: ControlRole,
    /// All voters by name; left out if empty.
    pub voters: Vec<(String, SocketAddr)>,
    /// Parents of a replica; left out if empty.
    pub parents: Vec<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Further arguments, passed as they are.
    pub extra: Vec<String>,
}

impl ControlFlags {
    /// The command line without the program.
    pub fn arguments(&self) -> Vec<String> {
        let role = match self.role {
            ControlRole::Voter => "voter",
            ControlRole::Replica => "replica",
        };
        let voters = self
            .voters
            .iter()
            .map(|(name, address)| format!("{name}={address}"));
        let mut line = FlagLine::serve();
        line.flag("--name", &self.name);
        line.flag("--listen", self.listen);
        line.flag("--http", self.http);
        line.flag("--data-dir", self.data_dir.display());
        line.flag("--role", role);
        line.list("--voters", voters);
        line.list("--parents", self.parents.iter().map(SocketAddr::to_string));
        line.flag("--zone", &self.zone);
        line.flag("--region", &self.region);
        line.finish(&self.extra)
    }
}

/// Flags of `kumquatlock-node serve`.
#[derive(Clone, Debug)]
pub struct NodeFlags {
    /// Name of the node; the same as the name of its upstream.
    pub name: String,
    /// Address for other nodes.
    pub listen: SocketAddr,
    /// Address for callers and metrics.
    pub http: SocketAddr,
    /// Address for the node's own upstream.
    pub upstream_http: SocketAddr,
    /// Control instances, the preferred one first.
    pub parents: Vec<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Further arguments, passed as they are.
    pub extra: Vec<String>,
}

impl NodeFlags {
    /// The command line without the program.
    pub fn arguments(&self) -> Vec<String> {
        let mut line = FlagLine::serve();
        line.flag("--name", &self.name);
        line.flag("--listen", self.listen);
        line.flag("--http", self.http);
        line.flag("--upstream-http", self.upstream_http);
        line.list("--parents", self.parents.iter().map(SocketAddr::to_string));
        line.flag("--zone", &self.zone);
        line.flag("--region", &self.region);
        line.finish(&self.extra)
    }
}

struct FlagLine(Vec<String>);

impl FlagLine {
    fn serve() -> Self {
        FlagLine(vec!["serve".to_owned()])
    }

    fn flag(&mut self, name: &str, value: impl ToString) {
        self.0.extend([name.to_owned(), value.to_string()]);
    }

    fn list(&mut self, name: &str, values: impl Iterator<Item = String>) {
        let text = values.collect::<Vec<_>>().join(",");
        if !text.is_empty() {
            self.flag(name, text);
        }
    }

    fn finish(mut self, extra: &[String]) -> Vec<String> {
        self.0.extend_from_slice(extra);
        self.0
    }
}
