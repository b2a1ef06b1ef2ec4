//! Checks that documentation pages match the code.

use std::path::Path;

use celerylead::settings::VALUE_RULES;
use expect_test::expect_file;

const SETTINGS_PAGE_HEAD: &str = "\
# Settings

One TOML file under version control declares the tree; `celerylead check
FILE` checks it without any service, `celerylead apply FILE` puts it in force.
A file with a fault is rejected whole, with the line of every fault.

## Branches

| table | fields | inherits from |
|---|---|---|
| `[defaults]` | any value below | built-in values |
| `[[region]]` | `name` | `defaults` |
| `[[zone]]` | `name`, `region` | region |
| `[[group]]` | `name`, `kind` (`model` or `service`), `fencing` (bool) | `defaults` |
| `[[runner]]` | `name`, `group`, `zone`, `address` (`IP:PORT`) | zone, then group |
| `[[model]]` | `name`, `group`, `size_mb` | group |
| `[[adapter]]` | `name`, `model`, `size_mb` | model |
| `[[customer]]` | `name`, `models` (list; absent means all) | `defaults` |
| `[[key]]` | `name`, `customer`, `sha256` (hash, never the key) | customer |
| `[[service]]` | `name`, `group` | group |
| `[[route]]` | `service`, `path` (prefix), `methods` (list; absent means all) | service |

Each branch overrides values in a table named `set`, such as
`set = { max_output_tokens = 128 }`. `celerylead show KIND/NAME` tells each
value of a branch and where it came from. Names are 1 to 64 letters, digits,
`-`, `_` and `.`. `fencing = true` says that the group's engines refuse
orders under an old fencing number.

Keys given by `celerylead key give` live beside the file and survive an
`apply`; a withdrawn key stays withdrawn, whatever a later file says.

## Values

| name | unit | default | accepted | meaning |
|---|---|---|---|---|
";

/// The settings file of a process behind an adapter.
const NODE_SETTINGS: &str = "
## Settings file of celerylead-node

| field | unit | default | meaning |
|---|---|---|---|
| `bounds.cold_overshoot` | factor | 1.5 | Times what a cold server tolerates that all hosts may send it in a second. |
| `bounds.cold_slack` | requests | 5 | Requests in a second to a cold server that are allowed beyond that. |
| `bounds.evacuate_ms` | ms | 5000 | Time from the evacuation of a zone until nothing may reach its servers; polls of the configuration end in time for it. |
| `scheduling` | name | `auto` | `by_load`: runners are chosen by load. `by_lateness`: by predicted lateness and learned capacity. `by_class`: the same, and calls wait by class and customer instead of in order of arrival. `auto`: by lateness where one replica of each model of a service takes more than three fifths of its runners' memory, else by load. |
";

/// What a process behind an adapter may use of its machine.
const NODE_LIMITS: &str = "
# Limits of celerylead-node

The settings file of the process may say what it may use of its machine. A host
divides it at its start.

| field of `[limits]` | default | meaning |
|---|---|---|
| `memory_mb` | that of the control group, else of the machine | Memory of the process; a quarter is for bodies and buffered answers, a third for connections, a sixteenth for tables of headers. |
| `max_fds` | the process's own limit | Descriptors of the process; 200 are for files, a connection may need two. |

These follow from them and from the operator's configuration, and have no field of
their own ([design/body-budget.md](design/body-budget.md)):

| limit | value | what is beyond it |
|---|---|---|
| bodies and buffered answers | 3/16 of `memory_mb` | bodies that don't go on give way (408), others are refused (503) |
| bodies up to 16 KB | a further 1/16 | they share the room above |
| connections of callers | a third of `memory_mb` by 48 KB and `max_header_bytes` each; half of `max_fds` less 200; at least 16 | the oldest one whose caller doesn't go on ends (408 within a body); if there is none, the oldest one after its request in flight |
| pause within a body | twice `idle_timeout_ms` | 408 |
| pace of a body after that time | 1,024 bytes a second | 408 |
| pace of a body while others need its memory | a second for each piece, and 64 KB/s | 408 |
| pace of a body while others need its connection | no second without a byte; a second for the body, and 64 KB/s | 408 |
| wait for a head, from the answer before | twice `idle_timeout_ms` | the connection is closed |
| headers of a request | a quarter of `max_header_bytes`, 64 to 24,000 | 431 |
| headers of a request beyond the first 64 | 400 bytes each, of 1/16 of `memory_mb` | 503 |
| answer that isn't read | 3 s without progress | the connection is closed |
| bytes of an answer that the kernel holds unsent | 16 KB | they wait in the process, which counts them |
| reading after a refusal | 1 s, 256 KB | the connection is closed |
| connections to the ready or the control address | 48 each | the oldest one ends: at once if it has sent no request in its first 200 ms, else within a second |
| head of a request to these addresses | 16 KB | 431 |
";

#[test]
fn the_settings_page_is_made_from_the_rules() {
    let mut page = SETTINGS_PAGE_HEAD.to_owned();
    for rule in VALUE_RULES {
        let (default, accepted) = if rule.unit == "bool" {
            let value = if rule.default == 0 { "false" } else { "true" };
            (value.to_owned(), "false, true".to_owned())
        } else {
            let accepted = format!("{} to {}", rule.low, rule.high);
            (rule.default.to_string(), accepted)
        };
        page += &format!(
            "| `{}` | {} | {default} | {accepted} | {} |\n",
            rule.name,
            rule.unit,
            rule.meaning.trim(),
        );
    }
    page += NODE_SETTINGS;
    page += NODE_LIMITS;
    expect_file!["../../../docs/SETTINGS.md"].assert_eq(&page);
}

#[test]
fn the_operations_page_names_every_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = root.join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).expect("the page can be read");
    let mut events = Vec::new();
    collect_events(&root.join("src"), &mut events);
    assert!(20 < events.len(), "the search has to find the events");
    for event in events {
        let is_listed = page.contains(&format!("`{event}`"));
        assert!(is_listed, "docs/OPERATIONS.md doesn't name {event}");
    }
}

/// Collects the names after `event = ` in all source files below a folder.
fn collect_events(folder: &Path, events: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_events(&path, events);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        for rest in text.split("event = \"").skip(1) {
            let name = rest.split('"').next().unwrap_or("");
            events.push(name.to_owned());
        }
    }
}
