//! Processor time and memory of a process, for the benchmarks.

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that a process uses.
pub(crate) struct ProcessUse {
    /// Seconds of processor time so far.
    pub(crate) cpu: f64,
    /// Resident memory in KB.
    pub(crate) memory_kb: u64,
}

/// Reads what a process has used so far.
pub(crate) fn process_use(id: u32) -> ProcessUse {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"));
    let stat = stat.expect("the process runs");
    // Takes the fields after the process name, which ends with the last
    // parenthesis.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = [11, 12]
        .into_iter()
        .filter_map(|index: usize| fields.get(index)?.parse::<f64>().ok())
        .sum();
    let status = std::fs::read_to_string(format!("/proc/{id}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let memory = line.and_then(|line| line.split_whitespace().nth(1));
    ProcessUse {
        cpu: ticks / TICKS_PER_SECOND,
        memory_kb: memory.and_then(|kb| kb.parse().ok()).unwrap_or(0),
    }
}
