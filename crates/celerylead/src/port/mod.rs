//! The boundary to the systems outside: messages and encodings.
//!
//! Nothing in the product names a header, path or field of a platform it
//! runs on. An adapter implements two things:
//!
//! * [`EdgeCodec`], pure functions between bytes and the product's types:
//!   what a caller sends, what a runner is sent and answers, the operator's
//!   configuration, the registry, orders.
//! * A task behind a [`StorePort`]: the client of the platform's table
//!   store. It gets [`StoreRequest`] messages and owns the connections.

mod codec;
mod store;

pub use self::{
    codec::{
        AnswerVerdict, EdgeCodec, EngineReport, ForwardTarget, LinkReuse,
        OrderVerdict, PlacementOrder,
    },
    store::{
        ANSWER_TIMEOUT, RowChange, RowKey, RowPut, StoreError, StorePort,
        StoreReading, StoreRequest, StoreRow, StoreTable,
    },
};
pub use crate::wire::link::{HttpLink, SendFault};
