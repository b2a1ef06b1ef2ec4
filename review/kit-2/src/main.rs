//! Scripts of the cases of the second review. The hosts are processes of the
//! project; callers, runners and the platform's store are stand-ins.

mod http;
mod json;
mod node;
mod parts;
mod record;
mod rollback;
mod runner;
mod slow;
mod stalled;
mod store;

use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest time of a run.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// What a run showed.
#[derive(PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// A run of a case.
pub struct Run {
    pub record: record::Record,
    /// Temporary folder of the hosts.
    pub temporary: PathBuf,
    /// The disruption; 0 for none.
    pub trouble: String,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let folder = words.next().unwrap_or_else(|| ".".into());
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let name = format!("celerylead-review-{}", std::process::id());
    let temporary = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let record = record::Record::create(Path::new(&folder));
    record.line(&format!("case {case}, TROUBLE={trouble}"));
    let run = Run { record, temporary, trouble };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        node::kill_all();
        println!("the case took too long");
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "parts" => parts::run(&run),
        "rollback" => rollback::run(&run),
        "slow" => slow::run(&run),
        "stalled" => stalled::run(&run),
        _ => Verdict::NotRun,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&run.temporary);
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case couldn't run"),
    };
    run.record.line(text);
    println!("{text}");
    std::process::exit(code);
}
