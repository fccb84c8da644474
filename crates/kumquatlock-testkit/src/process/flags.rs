//! Command lines of the binaries. Only this module of the test kit contains their flags.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Role of a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRole {
    /// Persists its state on disk and votes.
    Voter,
    /// Serves reads and does not vote.
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
    /// Folder for the persistent state of the instance.
    pub data_dir: PathBuf,
    /// Role of the instance.
    pub role: ControlRole,
    /// Names and addresses of all voters; the flag is omitted if empty.
    pub voters: Vec<(String, SocketAddr)>,
    /// Parents of a replica; the flag is omitted if empty.
    pub parents: Vec<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Further command-line arguments, passed unchanged.
    pub extra: Vec<String>,
}

impl ControlFlags {
    /// Returns the command-line arguments, without the program name.
    pub fn arguments(&self) -> Vec<String> {
        let role = match self.role {
            ControlRole::Voter => "voter",
            ControlRole::Replica => "replica",
        };
        let voters = self
            .voters
            .iter()
            .map(|(name, address)| format!("{name}={address}"));
        let mut arguments = ArgumentList::serve();
        arguments.flag("--name", &self.name);
        arguments.flag("--listen", self.listen);
        arguments.flag("--http", self.http);
        arguments.flag("--data-dir", self.data_dir.display());
        arguments.flag("--role", role);
        arguments.list_flag("--voters", voters);
        arguments.list_flag("--parents", self.parents.iter().map(SocketAddr::to_string));
        arguments.flag("--zone", &self.zone);
        arguments.flag("--region", &self.region);
        arguments.finish(&self.extra)
    }
}

/// Flags of `kumquatlock-node serve`.
#[derive(Clone, Debug)]
pub struct NodeFlags {
    /// Name of the node, which is also the name of its upstream.
    pub name: String,
    /// Address for other nodes.
    pub listen: SocketAddr,
    /// Address for callers and metrics.
    pub http: SocketAddr,
    /// Address for the node's own upstream.
    pub upstream_http: SocketAddr,
    /// Addresses of control instances, in order of preference.
    pub parents: Vec<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Further command-line arguments, passed unchanged.
    pub extra: Vec<String>,
}

impl NodeFlags {
    /// Returns the command-line arguments, without the program name.
    pub fn arguments(&self) -> Vec<String> {
        let mut arguments = ArgumentList::serve();
        arguments.flag("--name", &self.name);
        arguments.flag("--listen", self.listen);
        arguments.flag("--http", self.http);
        arguments.flag("--upstream-http", self.upstream_http);
        arguments.list_flag("--parents", self.parents.iter().map(SocketAddr::to_string));
        arguments.flag("--zone", &self.zone);
        arguments.flag("--region", &self.region);
        arguments.finish(&self.extra)
    }
}

struct ArgumentList(Vec<String>);

impl ArgumentList {
    fn serve() -> Self {
        ArgumentList(vec!["serve".to_owned()])
    }

    fn flag(&mut self, name: &str, value: impl ToString) {
        self.0.extend([name.to_owned(), value.to_string()]);
    }

    fn list_flag(&mut self, name: &str, values: impl Iterator<Item = String>) {
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
