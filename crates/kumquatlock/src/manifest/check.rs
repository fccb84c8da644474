//! Validation of a parsed manifest.

use indexmap::IndexSet;

use super::{
    MAX_ACCOUNT_KEYS, MAX_ACCOUNTS, MAX_API_KEY_BYTES, MAX_HOST_BYTES, MAX_NAME_BYTES,
    MAX_PATTERNS, MAX_PREFIX_BYTES, MAX_QUOTA, MAX_ROUTE_TIMEOUT_MS, MAX_ROUTES, MAX_SERVICES,
    MAX_SPLIT_PARTS, MAX_TARGET_EXCESS_MS, ManifestError, ManifestFault, RawAccount, RawManifest,
    RawRoute, RawService, has_only_name_chars, is_valid_name,
};

pub(super) fn check_manifest(manifest: &RawManifest) -> Result<(), ManifestError> {
    if manifest.version == 0 {
        return Err(ManifestError::at("$.version", ManifestFault::BadVersion));
    }
    if manifest.services.is_empty() {
        return Err(ManifestError::at("$.services", ManifestFault::NoServices));
    }
    check_limit("$.services", manifest.services.len(), MAX_SERVICES)?;
    check_limit("$.routes", manifest.routes.len(), MAX_ROUTES)?;

    let mut services = IndexSet::new();
    for (position, service) in manifest.services.iter().enumerate() {
        let path = format!("$.services[{position}]");
        check_name(&path, &service.name, &mut services)?;
        check_patterns(&path, service)?;
    }
    let mut routes = IndexSet::new();
    let mut matches = IndexSet::new();
    for (position, route) in manifest.routes.iter().enumerate() {
        let path = format!("$.routes[{position}]");
        check_name(&path, &route.name, &mut routes)?;
        check_route_match(&path, route, &mut matches)?;
        check_route_services(&path, route, &services)?;
        check_timeouts(&path, route)?;
    }
    check_accounts(manifest.accounts.as_deref().unwrap_or_default())
}

fn check_accounts(accounts: &[RawAccount]) -> Result<(), ManifestError> {
    check_limit("$.accounts", accounts.len(), MAX_ACCOUNTS)?;
    let mut names = IndexSet::new();
    let mut keys = IndexSet::new();
    for (position, account) in accounts.iter().enumerate() {
        let path = format!("$.accounts[{position}]");
        check_name(&path, &account.name, &mut names)?;
        check_limit(
            &format!("{path}.keys"),
            account.keys.len(),
            MAX_ACCOUNT_KEYS,
        )?;
        for (position, key) in account.keys.iter().enumerate() {
            // The fault does not repeat the key, which would end up in logs.
            let fault = if !is_valid_api_key(key) {
                ManifestFault::BadApiKey
            } else if !keys.insert(key.as_str()) {
                ManifestFault::SharedApiKey
            } else {
                continue;
            };
            let path = format_args!("{path}.keys[{position}]");
            return Err(ManifestError::at(path, fault));
        }
        let quota = [("rate", account.rate), ("burst", account.burst)];
        for (field, value) in quota {
            if value.is_some_and(|value| !(0.0..=MAX_QUOTA).contains(&value)) {
                let path = format_args!("{path}.{field}");
                return Err(ManifestError::at(path, ManifestFault::BadQuota));
            }
        }
    }
    Ok(())
}

/// Whether a request can carry the key in a header.
fn is_valid_api_key(key: &str) -> bool {
    (1..=MAX_API_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_route_services(
    path: &str,
    route: &RawRoute,
    services: &IndexSet<&str>,
) -> Result<(), ManifestError> {
    if route.service.is_some() != route.split.is_empty() {
        return Err(ManifestError::at(path, ManifestFault::BadSplit));
    }
    check_limit(&format!("{path}.split"), route.split.len(), MAX_SPLIT_PARTS)?;
    let parts = route.split.iter().map(|part| part.service.as_str());
    for service in route.service.as_deref().into_iter().chain(parts) {
        if !services.contains(service) {
            let service = service.to_owned();
            let fault = ManifestFault::DanglingService { service };
            return Err(ManifestError::at(format_args!("{path}.service"), fault));
        }
    }
    Ok(())
}

fn check_timeouts(path: &str, route: &RawRoute) -> Result<(), ManifestError> {
    let timeout = route.timeout_ms;
    if timeout.is_some_and(|timeout| timeout == 0 || timeout > MAX_ROUTE_TIMEOUT_MS) {
        let fault = ManifestFault::BadTimeout;
        return Err(ManifestError::at(format_args!("{path}.timeout_ms"), fault));
    }
    if let (Some(timeout), Some(target)) = (timeout, route.target_ms)
        && target >= timeout.saturating_add(MAX_TARGET_EXCESS_MS)
    {
        let fault = ManifestFault::BadTarget;
        return Err(ManifestError::at(format_args!("{path}.target_ms"), fault));
    }
    Ok(())
}

fn check_limit(path: &str, len: usize, limit: usize) -> Result<(), ManifestError> {
    if len > limit {
        return Err(ManifestError::at(path, ManifestFault::TooLarge { limit }));
    }
    Ok(())
}

fn check_name<'text>(
    path: &str,
    name: &'text str,
    names: &mut IndexSet<&'text str>,
) -> Result<(), ManifestError> {
    let owned = || name.to_owned();
    let fault = if !is_valid_name(name) {
        ManifestFault::BadName { name: owned() }
    } else if !names.insert(name) {
        ManifestFault::DuplicateName { name: owned() }
    } else {
        return Ok(());
    };
    Err(ManifestError::at(format_args!("{path}.name"), fault))
}

fn check_patterns(path: &str, service: &RawService) -> Result<(), ManifestError> {
    let path = format!("{path}.upstreams");
    check_limit(&path, service.upstreams.len(), MAX_PATTERNS)?;
    let mut patterns = IndexSet::new();
    for (position, pattern) in service.upstreams.iter().enumerate() {
        let valid = match pattern.strip_suffix('*') {
            // The pattern `*` admits every upstream that announces the service.
            Some(prefix) => prefix.len() <= MAX_NAME_BYTES && has_only_name_chars(prefix),
            None => is_valid_name(pattern),
        };
        let name = pattern.clone();
        let fault = if !valid {
            ManifestFault::BadName { name }
        } else if !patterns.insert(pattern) {
            ManifestFault::DuplicateName { name }
        } else {
            continue;
        };
        return Err(ManifestError::at(format_args!("{path}[{position}]"), fault));
    }
    Ok(())
}

fn check_route_match<'text>(
    path: &str,
    route: &'text RawRoute,
    matches: &mut IndexSet<(&'text str, &'text str)>,
) -> Result<(), ManifestError> {
    let host = route.host.as_deref();
    if let Some(host) = host
        && !((1..=MAX_HOST_BYTES).contains(&host.len()) && has_only_name_chars(host))
    {
        let name = host.to_owned();
        let fault = ManifestFault::BadName { name };
        return Err(ManifestError::at(format_args!("{path}.host"), fault));
    }
    let prefix = route.prefix.as_str();
    let fault = if !is_valid_prefix(prefix) {
        let prefix = prefix.to_owned();
        ManifestFault::BadPrefix { prefix }
    } else if !matches.insert((host.unwrap_or(""), prefix)) {
        ManifestFault::DuplicateMatch {
            host: host.unwrap_or("").to_owned(),
            prefix: prefix.to_owned(),
        }
    } else {
        return Ok(());
    };
    Err(ManifestError::at(format_args!("{path}.prefix"), fault))
}

/// Whether routes can match the prefix. It must not contain a query or a fragment, because routes
/// match only the path.
fn is_valid_prefix(prefix: &str) -> bool {
    prefix.starts_with('/')
        && prefix.len() <= MAX_PREFIX_BYTES
        && prefix
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'?' && byte != b'#')
}
