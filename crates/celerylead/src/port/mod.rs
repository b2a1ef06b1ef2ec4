//! Interface to external systems: messages and encodings.
//!
//! No code of this crate names a header, path or field of a platform on which
//! it runs. A platform adapter implements two parts:
//!
//! * [`EdgeCodec`], pure functions that convert between bytes and the types of
//!   this crate: requests of callers, requests to runners and their answers,
//!   the operator's configuration, the registry, and orders.
//! * A task behind a [`StorePort`], which is the client of the platform's
//!   table store. It receives [`StoreRequest`] messages and owns the
//!   connections.

mod codec;
mod store;

pub use self::{
    codec::{
        AnswerVerdict, EdgeCodec, EngineReport, ForwardTarget, LinkReuse,
        LinkUse, OrderVerdict, PlacementOrder,
    },
    store::{
        ANSWER_TIMEOUT, RowChange, RowKey, RowPut, StoreError, StorePort,
        StoreReading, StoreRequest, StoreRow, StoreTable,
    },
};
pub use crate::wire::link::{HttpLink, SendFault};
