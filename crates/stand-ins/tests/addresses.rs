//! Each stand-in that runs as a process prints its address.

use std::{
    io::{BufRead as _, BufReader},
    process::{Command, Stdio},
};

#[test]
fn a_stand_in_prints_its_address() {
    for kind in ["table", "objects", "service", "engine"] {
        let mut child =
            Command::new(env!("CARGO_BIN_EXE_celerylead-stand-in"))
                .arg(kind)
                .stdout(Stdio::piped())
                .spawn()
                .expect("the stand-in starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("the output is piped");
        BufReader::new(output).read_line(&mut line).expect("a line of output");
        assert!(line.starts_with("listening=127.0.0.1:"), "{kind}: {line}");
        child.kill().expect("the stand-in is still running");
        child.wait().expect("the stand-in's process can be waited for");
    }
}
