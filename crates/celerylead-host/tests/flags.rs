//! Invalid flags of the daemon, and the errors that it prints for them.

use std::process::Command;

use expect_test::expect;

/// An invalid flag, and the error that the daemon prints.
struct FlagCase {
    flags: &'static [&'static str],
    message: &'static str,
}

#[test]
fn bad_values_name_flag_value_and_range() {
    let cases = [
        FlagCase {
            flags: &["--host=a b"],
            message: "Error: --host is \"a b\", accepted: 1 to 64 letters, \
                      digits, '-' and '_'\n",
        },
        FlagCase {
            flags: &["--listen=here"],
            message: "Error: --listen is \"here\", accepted: IP:PORT\n",
        },
        FlagCase {
            flags: &["--lease-ttl-ms=100"],
            message: "Error: --lease-ttl-ms is \"100\", accepted: 4000 to \
                      60000 ms\n",
        },
    ];
    for case in cases {
        let mut flags = vec![
            "--host=kgn-1",
            "--zone=kgn",
            "--table=127.0.0.1:1",
            "--credential=secret",
            "--peer-authority=none",
            "--peer-certificate=none",
            "--peer-key=none",
        ];
        let name = case.flags[0].split('=').next().unwrap_or("");
        flags.retain(|flag| !flag.starts_with(name));
        flags.extend(case.flags);
        let output = Command::new(env!("CARGO_BIN_EXE_celerylead-host"))
            .args(&flags)
            .env_clear()
            .output()
            .expect("the daemon runs");
        let message = String::from_utf8_lossy(&output.stderr);
        let first = message.split("\nStack").next().unwrap_or("");
        assert_eq!(first.trim_end(), case.message.trim_end());
        assert!(!output.status.success());
    }
}

#[test]
fn a_missing_flag_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_celerylead-host"))
        .env_clear()
        .output()
        .expect("the daemon runs");
    expect![[r#"
        Error: expected `--host=NAME`, pass `--help` for usage information
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stderr));
}
