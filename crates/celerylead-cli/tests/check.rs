//! Runs `celerylead check` on settings files, which needs no service.

use std::process::Command;

use expect_test::{Expect, expect};

/// A settings file, and the exit code and standard error of its check.
struct CheckCase {
    file: &'static str,
    code: i32,
    stderr: Expect,
}

#[test]
fn check_reports_every_fault_with_its_line() {
    let cases = [
        CheckCase {
            file: "[[customer]]\nname = \"parish\"\n",
            code: 0,
            stderr: expect![""],
        },
        CheckCase {
            file: "[defaults]\nspeed = 3\n",
            code: 3,
            stderr: expect![[r#"
                FILE: line 2: unknown field `speed`, expected one of `rate`, `burst`, `rate_limit`, `burst_limit`, `standing_percent`, `standing_hold_s`, `key_trust_s`, `max_output_tokens`, `prompt_bytes_per_token`, `slots`, `memory_mb`, `loads_at_once`, `queue_ms`, `head_timeout_ms`, `idle_timeout_ms`, `max_body_kb`, `idempotent`, `open`
            "#]],
        },
        CheckCase {
            file: "[defaults]\nslots = 0\n[[customer]]\nname = \"a b\"\n\
                   set = { rate = 2000000000 }\n",
            code: 3,
            stderr: expect![[r#"
                FILE: line 2: slots is 0, accepted are 1 to 10000 requests
                FILE: line 4: customer name is "a b", accepted are 1 to 64 letters, digits, '-', '_' and '.'
                FILE: line 4: rate of customer "a b" is 2000000000, accepted are 0 to 1000000000 tokens/s by rate_limit of the defaults
                FILE: line 5: rate is 2000000000, accepted are 0 to 1000000000 tokens/s
            "#]],
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let path = std::env::temp_dir().join(format!(
            "celerylead-check-{}-{index}.toml",
            std::process::id(),
        ));
        std::fs::write(&path, case.file).expect("a settings file");
        let output = Command::new(env!("CARGO_BIN_EXE_celerylead"))
            .arg("check")
            .arg(&path)
            .output()
            .expect("the command line runs");
        let stderr = String::from_utf8_lossy(&output.stderr);
        let file = path.to_string_lossy();
        case.stderr.assert_eq(&stderr.replace(&*file, "FILE"));
        assert_eq!(output.status.code(), Some(case.code));
        let _ = std::fs::remove_file(&path);
    }
}
