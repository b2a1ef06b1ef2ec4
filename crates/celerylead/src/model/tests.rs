use super::ModelName;

struct NameCase {
    text: &'static str,
    parsed: Option<(&'static str, Option<&'static str>)>,
}

#[test]
fn names_of_models_and_adapters() {
    let cases = [
        NameCase { text: "outline", parsed: Some(("outline", None)) },
        NameCase { text: "outline:a", parsed: Some(("outline", Some("a"))) },
        NameCase { text: "", parsed: None },
        NameCase { text: ":a", parsed: None },
        NameCase { text: "outline:", parsed: None },
        NameCase { text: "outline:a:b", parsed: None },
    ];
    for case in cases {
        let name = case.text.parse::<ModelName>().ok();
        let parsed = name
            .as_ref()
            .map(|name| (name.model.as_str(), name.adapter.as_deref()));
        assert_eq!(parsed, case.parsed, "{}", case.text);
    }
}
