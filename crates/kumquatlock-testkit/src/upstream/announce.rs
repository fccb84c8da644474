//! Requests that a stand-in upstream sends to its node: announcements, drain and leave.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::util::cancel::CancelToken;
use serde::Serialize;

use super::{UpstreamError, UpstreamOptions};
use crate::caller::{HttpCaller, HttpRequest};

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a request to the node.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);

/// JSON body of an announcement, also sent with drain and leave requests.
#[derive(Clone, Debug, Serialize)]
struct Announcement {
    name: String,
    service: String,
    address: SocketAddr,
    slots: usize,
}

#[derive(Debug)]
pub(super) struct NodeClient {
    caller: HttpCaller,
    announcement: Announcement,
}

impl NodeClient {
    pub(super) fn new(node: SocketAddr, options: &UpstreamOptions, address: SocketAddr) -> Self {
        NodeClient {
            caller: HttpCaller::new(node),
            announcement: Announcement {
                name: options.name.clone(),
                service: options.service.clone(),
                address,
                slots: options.slots,
            },
        }
    }

    pub(super) fn announce_until(&self, stop: &CancelToken) {
        while !stop.is_cancelled() {
            if let Err(error) = self.post_announce() {
                log::debug!(
                    upstream = self.announcement.name.as_str(),
                    error:% = error;
                    "announcement_failed"
                );
            }
            stop.wait_timeout(ANNOUNCE_INTERVAL);
        }
    }

    pub(super) fn post_announce(&self) -> Result<(), UpstreamError> {
        self.post("/v1/announce")
    }

    pub(super) fn post_drain(&self) -> Result<(), UpstreamError> {
        self.post("/v1/drain")
    }

    pub(super) fn post_leave(&self) -> Result<(), UpstreamError> {
        self.post("/v1/leave")
    }

    fn post(&self, path: &'static str) -> Result<(), UpstreamError> {
        let body = serde_json::json!(self.announcement).to_string();
        let request = HttpRequest::post(path, body)
            .header("Content-Type", "application/json")
            .timeout(NODE_TIMEOUT);
        let response = self.caller.send(&request)?;
        if (200..300).contains(&response.status) {
            return Ok(());
        }
        Err(UpstreamError::Refused {
            path,
            status: response.status,
            body: response.text(),
        })
    }
}
