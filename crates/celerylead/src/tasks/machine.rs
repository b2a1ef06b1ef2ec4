//! What the machine of the process offers, where no settings say it.

use rustix::process::{Resource, getrlimit};

/// Limit of the process's control group, in bytes; `max` if there is none.
const GROUP_LIMIT_PATH: &str = "/sys/fs/cgroup/memory.max";
/// Memory of the machine.
const MEMORY_PATH: &str = "/proc/meminfo";
/// Memory that is assumed where neither can be read.
const ASSUMED_BYTES: u64 = 128 << 20;
/// Descriptors that are assumed if the process has no limit.
const ASSUMED_DESCRIPTORS: u64 = 65_536;

/// Returns the memory that the process may use, in bytes: the limit of its
/// control group, or else the memory of the machine.
pub(crate) fn memory_bytes() -> u64 {
    let read = |path| std::fs::read_to_string(path).unwrap_or_default();
    group_limit(&read(GROUP_LIMIT_PATH))
        .or_else(|| machine_memory(&read(MEMORY_PATH)))
        .unwrap_or(ASSUMED_BYTES)
}

/// Returns the number of descriptors that the process may open.
pub(crate) fn descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(ASSUMED_DESCRIPTORS)
}

fn group_limit(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

/// Parses the line `MemTotal:  N kB`.
fn machine_memory(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kilobytes = line.trim().strip_suffix("kB")?.trim();
    kilobytes.parse::<u64>().ok()?.checked_mul(1 << 10)
}

#[cfg(test)]
mod tests;
