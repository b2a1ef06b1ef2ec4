//! Parsing of reports, files of days, and plots.

use celerylead_rounds::{DayReport, PairFigures, day_text};
use expect_test::expect;

#[test]
fn a_report_says_whether_the_rules_held() {
    struct Case {
        name: &'static str,
        text: &'static str,
        verdict: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "all held",
            text: r#"{"G": 0.7, "served": 0.8, "breaks": {}, "fault": null}"#,
            verdict: Some("held"),
        },
        Case {
            name: "two broken",
            text: r#"{"G": 0, "served": 0.8, "breaks": {"B": 1, "A": 2},
                      "fault": null, "more": []}"#,
            verdict: Some("broken: A, B"),
        },
        Case {
            name: "a fault",
            text: r#"{"G": 0, "served": 0, "breaks": {}, "fault": "no start"}"#,
            verdict: Some("fault: no start"),
        },
        Case { name: "no worth", text: r#"{"breaks": {}}"#, verdict: None },
    ];
    for Case { name, text, verdict } in cases {
        let found = DayReport::parse(text).ok();
        let found = found.map(|report| report.verdict());
        assert_eq!(found.as_deref(), verdict, "{name}");
    }
}

#[test]
fn day_text_schedules_a_trouble_twice() {
    let trouble = toml::from_str("kind = \"cut\"\nfor_s = 5.0").unwrap();
    expect![[r#"
        length_s = 36.0
        name = "alone"

        [[faults]]
        at = 6.0
        for_s = 5.0
        kind = "cut"

        [[faults]]
        at = 20.0
        for_s = 5.0
        kind = "cut"
    "#]]
    .assert_eq(&day_text(&trouble));
}

#[test]
fn pairs_are_drawn_as_points() {
    let worth = vec![(0.5, 0.6), (0.7, 0.65), (0.4, 0.4)];
    let figures = PairFigures { worth, broken: Vec::new() };
    let file = std::env::temp_dir()
        .join(format!("rounds-plot-{}.svg", std::process::id()));
    figures.plot(&file).unwrap();
    let plot = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(plot.matches("<circle").count(), 3);
}
