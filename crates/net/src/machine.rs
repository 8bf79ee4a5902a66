//! Reads what the machine has for this process.

use std::fs;

use policy::client_limits::Machine;
use rustix::process::{getrlimit, Resource};

/// Memory that is assumed if the system does not tell any: that of the largest
/// machine in use.
const MEMORY_DEFAULT_BYTES: u64 = 512 << 20;

/// Descriptors that are assumed if the process has no limit on them.
const DESCRIPTORS_DEFAULT: u64 = 10_250;

/// Returns the limits of this process: the lowest of its address space, its control
/// group's memory and the machine's memory, and its open files.
pub fn own_machine() -> Machine {
    let cgroup = read_number("/sys/fs/cgroup/memory.max", "", 1);
    let total = read_number("/proc/meminfo", "MemTotal:", 1 << 10);
    let address_space = getrlimit(Resource::As).current;
    let memory_bytes = [cgroup, total, address_space]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(MEMORY_DEFAULT_BYTES);
    let descriptors_max = getrlimit(Resource::Nofile).current;
    Machine {
        memory_bytes: usize::try_from(memory_bytes).unwrap_or(usize::MAX / 4),
        descriptors_max: descriptors_max.unwrap_or(DESCRIPTORS_DEFAULT) as usize,
    }
}

/// Returns the number after `label` in a file, times `unit`; `None` if there is none.
fn read_number(path: &str, label: &str, unit: u64) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let rest = text.lines().find_map(|line| line.strip_prefix(label))?;
    let number: u64 = rest.split_whitespace().next()?.parse().ok()?;
    Some(number.saturating_mul(unit))
}
