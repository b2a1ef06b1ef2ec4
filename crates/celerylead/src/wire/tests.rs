//! Tests of encodings.

use hyper::{Response, http::response};

use super::answer::EventBoundary;

/// Returns the head of an answer with these headers.
fn head(headers: &[(&str, &str)]) -> response::Parts {
    let mut builder = Response::builder();
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(()).unwrap().into_parts().0
}

/// Guards against a stream that ended inside an event and is passed off as
/// whole, and against a whole one that is aborted.
#[test]
fn a_stream_may_end_only_between_two_events() {
    struct Case {
        name: &'static str,
        chunked: bool,
        /// Bytes as they arrive.
        pieces: &'static [&'static str],
        may_end: bool,
    }
    let case = Case { name: "", chunked: false, pieces: &[], may_end: true };
    let cases = [
        Case { name: "whole", pieces: &["id: 1\ndata: x\n\n"], ..case },
        Case {
            name: "inside a line",
            pieces: &["id: 1\n\nid: 2\nda"],
            may_end: false,
            ..case
        },
        Case {
            name: "after a line",
            pieces: &["id: 1\n\nid: 2\n"],
            may_end: false,
            ..case
        },
        Case { name: "in pieces", pieces: &["id: 1", "\n", "\n"], ..case },
        Case { name: "an empty piece", pieces: &["id: 1\n\n", ""], ..case },
        Case { name: "returns", pieces: &["id: 1\r", "\r"], ..case },
        Case { name: "both", pieces: &["id: 1\r\n\r", "\n"], ..case },
        Case { name: "mixed", pieces: &["id: 1\n\r\n"], ..case },
        Case {
            name: "after a line, both",
            pieces: &["id: 1\r\n"],
            may_end: false,
            ..case
        },
        Case { name: "no event in chunks", chunked: true, ..case },
        Case {
            name: "inside an event in chunks",
            chunked: true,
            pieces: &["id: 1\n"],
            may_end: false,
        },
        Case { name: "no event", may_end: false, ..case },
    ];
    for Case { name, chunked, pieces, may_end } in cases {
        let mut headers =
            vec![("content-type", "text/event-stream; charset=utf-8")];
        if chunked {
            headers.push(("transfer-encoding", "chunked"));
        }
        let boundary = EventBoundary::of_answer(&head(&headers));
        let mut boundary = boundary.expect("a stream of events");
        for piece in pieces {
            boundary.push(piece.as_bytes());
        }
        assert_eq!(boundary.may_end(), may_end, "{name}");
    }
    let plain = head(&[("content-type", "application/json")]);
    assert!(EventBoundary::of_answer(&plain).is_none());
}
