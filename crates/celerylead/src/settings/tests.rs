use expect_test::{Expect, expect};

use super::{KeyGrant, SettingsChange, SettingsState, parse};
use crate::customer::CallerKey;

const TREE: &str = r#"
[defaults]
max_output_tokens = 100
rate_limit = 1000

[[region]]
name = "jm-south"

[[zone]]
name = "kgn"
region = "jm-south"

[[group]]
name = "expander"
kind = "model"
set = { memory_mb = 100, max_output_tokens = 200 }

[[runner]]
name = "expander-1"
group = "expander"
zone = "kgn"
address = "127.0.0.1:9001"

[[model]]
name = "outline"
group = "expander"
size_mb = 60

[[adapter]]
name = "court"
model = "outline"
size_mb = 10
set = { max_output_tokens = 50 }

[[customer]]
name = "parish"
set = { rate = 10, burst = 40 }
"#;

struct FaultCase {
    /// Text appended to [`TREE`].
    appended: &'static str,
    expected: Expect,
}

#[test]
fn a_tree_is_rejected_whole_with_every_fault() {
    let cases = [
        FaultCase { appended: "", expected: expect![""] },
        FaultCase {
            appended: "[[zones]]\n",
            expected: expect![[r#"
            line 38: unknown field `zones`, expected one of `defaults`, `region`, `zone`, `group`, `runner`, `model`, `adapter`, `customer`, `key`, `service`, `route`
        "#]],
        },
        FaultCase {
            appended: "[[customer]]\nname = \"parish\"\n",
            expected: expect![[r#"
                line 39: customer "parish" is defined twice
            "#]],
        },
        FaultCase {
            appended: "[[model]]\nname = \"big\"\ngroup = \"expander\"\n\
                    size_mb = 40\n",
            expected: expect![[r#"
                line 39: model "big" takes 40 MB with its adapters and fits no runner of group "expander" beside the models before it; the largest runner has 100 MB
            "#]],
        },
        FaultCase {
            appended: "[[customer]]\nname = \"c\"\n\
                    set = { rate = 1001, burst = -1 }\n",
            expected: expect![[r#"
                line 40: invalid value: integer `-1`, expected u64
            "#]],
        },
        FaultCase {
            appended: "[[customer]]\nname = \"c\"\nset = { rate = 1001 }\n",
            expected: expect![[r#"
                line 39: rate of customer "c" is 1001, accepted are 0 to 1000 tokens/s by rate_limit of the defaults
            "#]],
        },
        FaultCase {
            appended: "[[key]]\nname = \"k\"\ncustomer = \"parish\"\n\
                    sha256 = \"cl-in-clear\"\n",
            expected: expect![[r#"
                line 41: a key hash is 64 hexadecimal digits of SHA-256; is this a key in clear?
            "#]],
        },
        FaultCase {
            appended: "[[adapter]]\nname = \"a\"\nmodel = \"none\"\nsize_mb = 1\n\
                    [[runner]]\nname = \"r\"\ngroup = \"x\"\nzone = \"y\"\n\
                    address = \"here\"\n",
            expected: expect![[r#"
                line 40: there is no model "none"
                line 44: there is no group "x"
                line 45: there is no zone "y"
                line 46: address is "here", accepted is IP:PORT
            "#]],
        },
        FaultCase {
            appended: "[[service]]\nname = \"records\"\ngroup = \"expander\"\n",
            expected: expect![[r#"
                line 40: group "expander" has another kind, accepted is a group of kind Service
            "#]],
        },
    ];
    for case in cases {
        let actual = match parse(&format!("{TREE}{}", case.appended)) {
            Ok(_) => String::new(),
            Err(faults) => {
                let lines = faults.iter().map(|fault| format!("{fault}\n"));
                lines.collect()
            }
        };
        case.expected.assert_eq(&actual);
    }
}

#[test]
fn branches_inherit_and_override() {
    let tree = parse(TREE).unwrap();
    let model = tree.model("outline").unwrap();
    let adapter = tree.adapter("outline", "court").unwrap();
    let parish = tree.customer("parish").unwrap();
    assert_eq!(model.values.max_output_tokens, 200);
    assert_eq!(adapter.values.max_output_tokens, 50);
    assert_eq!(parish.values.max_output_tokens, 100);
    let origin = |branch: &str, name: &str| {
        let mut origins = tree.origins.iter();
        let found = origins
            .find(|entry| entry.branch == branch && entry.name == name)
            .unwrap();
        found.origin.clone()
    };
    assert_eq!(origin("model/outline", "max_output_tokens"), "group/expander");
    assert_eq!(origin("model/outline", "slots"), "built-in");
    assert_eq!(origin("customer/parish", "rate"), "customer/parish");
}

#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let key = CallerKey::presented("cl-parish");
    let grant = |name: &str| KeyGrant {
        hash: key.hash(),
        name: name.to_owned(),
        customer: "parish".to_owned(),
    };
    let listed = format!(
        "{TREE}[[key]]\nname = \"listed\"\ncustomer = \"parish\"\n\
         sha256 = \"{}\"\n",
        key.hash(),
    );
    let changes = [
        SettingsChange::Apply { file: TREE.to_owned() },
        SettingsChange::GiveKey { key: grant("given") },
        SettingsChange::WithdrawKey { hash: key.hash() },
        SettingsChange::Apply { file: listed },
    ];
    let mut state = SettingsState::default();
    let mut known = Vec::new();
    for change in &changes {
        state = state.with_change(change, "id").unwrap();
        known.push(state.tree().unwrap().key(&key.hash()).is_some());
    }
    assert_eq!(known, [false, true, false, false]);
    let again = SettingsChange::GiveKey { key: grant("again") };
    assert!(state.with_change(&again, "id").is_err());
}
