//! Context of errors: the step and the peer of an operation.
//!
//! Errors are `anyhow` errors. Each layer that communicates with another
//! process adds the step at which the error occurred and the address or name
//! of the peer. Log lines and answers print the chain as
//! `step=… peer=…: cause`.

use std::fmt;

use anyhow::Context as _;

/// A step of an operation, as named in errors and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepName {
    /// Opening a connection.
    Connect,
    /// Writing a request.
    Send,
    /// Waiting for the head of an answer.
    AwaitHead,
    /// Reading the body of an answer.
    ReadBody,
    /// Decoding what was read.
    Decode,
    /// Binding a listening socket.
    Listen,
    /// Reading rows of the table service.
    ReadRows,
    /// Writing rows of the table service.
    WriteRows,
    /// Writing to the object store.
    PutObject,
}

impl fmt::Display for StepName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            StepName::Connect => "connect",
            StepName::Send => "send",
            StepName::AwaitHead => "await-head",
            StepName::ReadBody => "read-body",
            StepName::Decode => "decode",
            StepName::Listen => "listen",
            StepName::ReadRows => "read-rows",
            StepName::WriteRows => "write-rows",
            StepName::PutObject => "put-object",
        };
        formatter.write_str(name)
    }
}

/// Adds the step and the peer to an error.
pub trait StepContext<T> {
    /// Adds the step and the peer at which an error occurred.
    ///
    /// # Errors
    ///
    /// Returns the error of `self` with the step and the peer as its context.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{StepContext as _, StepName};
    ///
    /// let parsed = "x".parse::<u8>().at(StepName::Decode, "10.0.0.7:80");
    /// let error = parsed.unwrap_err();
    /// assert_eq!(error.to_string(), "step=decode peer=10.0.0.7:80");
    /// ```
    fn at(self, step: StepName, peer: impl fmt::Display) -> anyhow::Result<T>;
}

impl<T, E> StepContext<T> for Result<T, E>
where
    Result<T, E>: anyhow::Context<T, E>,
{
    fn at(self, step: StepName, peer: impl fmt::Display) -> anyhow::Result<T> {
        self.with_context(|| format!("step={step} peer={peer}"))
    }
}
