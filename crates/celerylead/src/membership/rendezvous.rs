//! Rendezvous hashing, which assigns names to hosts.

use sha2::{Digest as _, Sha256};

/// Returns the rendezvous weight of `host` for `name`. The name is assigned to
/// the host with the highest weight.
///
/// # Examples
///
/// ```
/// use celerylead::membership::rendezvous_weight;
///
/// let weight = |host| rendezvous_weight(host, "parish");
/// assert_eq!(weight("kgn-1"), weight("kgn-1"));
/// assert_ne!(weight("kgn-1"), weight("kgn-2"));
/// ```
pub fn rendezvous_weight(host: &str, name: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(host.as_bytes());
    hasher.update([0]);
    hasher.update(name.as_bytes());
    let digest = hasher.finalize();
    let mut weight = [0; 8];
    weight.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(weight)
}

/// Returns the host to which `name` is assigned.
///
/// When a host joins or leaves, only the names that it gains or loses move.
///
/// # Examples
///
/// ```
/// use celerylead::membership::best_host;
///
/// let best = best_host(["kgn-1", "kgn-2"], "parish").unwrap();
/// assert_eq!(best_host([best], "parish"), Some(best));
/// ```
pub fn best_host<'a>(
    hosts: impl IntoIterator<Item = &'a str>,
    name: &str,
) -> Option<&'a str> {
    hosts.into_iter().max_by_key(|host| (rendezvous_weight(host, name), *host))
}
