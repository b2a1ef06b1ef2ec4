//! Tests of the figures of a machine.

use super::{group_limit, machine_memory};

/// Guards against a budget derived from a text that was misread.
#[test]
fn memory_is_read_from_the_group_or_the_machine() {
    struct Case {
        name: &'static str,
        group: &'static str,
        machine: &'static str,
        bytes: Option<u64>,
    }
    let machine = "MemTotal:   1024 kB\nMemFree:  8 kB\n";
    let cases = [
        Case {
            name: "a limit of the group",
            group: "4096\n",
            machine,
            bytes: Some(4_096),
        },
        Case {
            name: "no limit of the group",
            group: "max\n",
            machine,
            bytes: Some(1 << 20),
        },
        Case { name: "no group", group: "", machine, bytes: Some(1 << 20) },
        Case { name: "neither", group: "", machine: "", bytes: None },
    ];
    for Case { name, group, machine, bytes } in cases {
        let read = group_limit(group).or_else(|| machine_memory(machine));
        assert_eq!(read, bytes, "{name}");
    }
}
