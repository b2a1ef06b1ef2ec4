//! Sends the first request that the playground prints, and checks that the
//! whole response arrives.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::TcpStream,
    process::{Command, Stdio},
    time::Duration,
};

#[test]
fn the_playground_answers_a_first_request() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_playground"))
        .stdout(Stdio::piped())
        .spawn()
        .expect("the playground starts");
    let output = child.stdout.take().expect("the output is piped");
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    let line = lines.find(|line| line.starts_with("curl "));
    let line = line.expect("the playground prints a curl command");
    let address = line.split('/').nth(2).expect("an address").to_owned();
    let answered = (0..100).any(|_| {
        std::thread::sleep(Duration::from_millis(100));
        first_request(&address).contains("data: [DONE]")
    });
    child.kill().expect("the playground is still running");
    child.wait().expect("the playground is a child of this process");
    assert!(answered, "no complete response within 10 s");
}

fn first_request(address: &str) -> String {
    let body = r#"{"model":"outline","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"hello"}]}"#;
    let mut stream = TcpStream::connect(address).expect("a connection");
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: playground\r\n\
         authorization: Bearer cl-playground\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len(),
    )
    .expect("the request is sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}
