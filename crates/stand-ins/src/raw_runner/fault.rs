//! Faults that the raw runner simulates.

/// Fault that the runner simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunnerFault {
    /// Behaves correctly.
    #[default]
    None,
    /// Rejects calls with 503 and an `x-not-executed` header, which proves
    /// that the call didn't run.
    Shed,
    /// Rejects calls with 421, as if they were meant for another runner.
    Misdirected,
    /// Runs the call, then closes the connection without an answer.
    CloseAfterRun,
    /// Runs the call and never answers.
    Unanswered,
    /// Runs the call and closes the connection in the middle of the answer's
    /// body.
    TruncatedBody,
    /// Runs the call, stops in the middle of its answer's head and closes the
    /// connection.
    TruncatedHead,
    /// Runs the call and answers with neither a length nor chunks; the
    /// connection ends with the answer.
    Unframed,
    /// The same, but a stream ends inside an event.
    UnframedCut,
    /// The same, but a stream ends before its first event.
    UnframedEmpty,
    /// The same as [`RunnerFault::Unframed`], but the connection is reset in
    /// the middle of the body.
    UnframedReset,
    /// A stream in chunks ends in its framing, but inside an event.
    ChunkedCut,
    /// Sends a second, unrequested answer right after the first. Streams are
    /// unaffected.
    ExtraAnswer,
    /// Runs the call and answers with the id of another request. Streams are
    /// unaffected.
    OtherId,
    /// Runs the call and answers a success without `x-response-signature`.
    /// Streams are unaffected.
    Unsigned,
    /// Runs the call and answers 503 without `x-not-executed`, so that the
    /// answer doesn't prove that the call didn't run.
    UnmarkedRejection,
    /// Runs the call and answers 500.
    Failure,
    /// Takes a long time between two events of a stream.
    Slow,
    /// Takes so long between two events that the stream outlasts the time in
    /// which a leaving host still accepts calls.
    VerySlow,
    /// Receives orders, but never answers them or carries them out.
    UnansweredOrders,
    /// Runs the call and sends header lines until the caller closes.
    EndlessHead,
    /// Runs the call and sends header lines, one at a time with a pause after
    /// each, until the caller closes.
    SlowHead,
    /// Runs the call and sends a body until the caller closes.
    EndlessBody,
    /// Never answers orders, and carries them out once the fault is over.
    LateOrders,
    /// Rejects the first call of a connection like [`RunnerFault::Shed`] but
    /// without its id. Runs the later ones, and answers each with the same
    /// rejection once more.
    RepeatedRejection,
}
