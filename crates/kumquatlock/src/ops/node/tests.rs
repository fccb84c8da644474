//! Tests of the claim settings that a node derives from its own settings.

use super::*;
use crate::call::MAX_TIMEOUT;

/// Guards against dropping the claim of an unfinished key while its request may still be running.
#[test]
fn unfinished_keys_are_kept_for_the_longest_deadline_and_the_retention() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = NodeSettings {
        name: "node".into(),
        zone: "zone".into(),
        region: "region".into(),
        listen: address,
        advertise: address,
        http: address,
        upstream_http: address,
        ready_http: None,
        metrics_http: None,
        parents: vec![address],
        http_workers: 4,
        upstream_connections: 1,
        longest_timeout: MAX_TIMEOUT,
        claim_retention: Duration::from_secs(3_600),
        tuning: NodeTuning::default(),
    };
    let claims = claim_settings(&settings);
    assert_eq!(claims.retention, Duration::from_secs(3_600));
    assert_eq!(claims.key_retention, Duration::from_secs(7_200));
}
