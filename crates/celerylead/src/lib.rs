//! Serving system for many models and many customers.
//!
//! Celerylead is a proxy between callers and backend servers. It authenticates
//! callers by their keys, limits each customer to its rate over all hosts
//! together, chooses the backend server for each request and returns the
//! answer. Operators change a tree of settings while the system serves
//! requests.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | settings tree: inheritance, validation, revisions |
//! | [`customer`] | keys, rates and the division of rates among hosts |
//! | [`model`] | models and adapters |
//! | [`runner`] | backend servers: life cycle, memory ledger |
//! | [`placement`] | assignment of models to runners |
//! | [`request`] | life cycle, refusals, routing, the fair queue |
//! | [`membership`] | hosts and their leases |
//! | [`usage`] | usage records for billing |
//! | [`platform`] | the table service and the keys of the rows stored there |
//! | [`host`] | a complete host: sockets, tasks, shutdown |
//! | [`catalog`] | one revision of an operator's routes and services |
//! | [`roster`] | runners listed by a registry |
//! | [`relay`] | choice of the runner for a call |
//! | [`quarantine`] | parts of prompts that crash runners |
//! | `intake` | memory and connections that callers may take |
//! | [`port`] | messages to and encodings of external systems |
//! | [`node`] | a complete host behind a platform adapter |
//!
//! These modules are aggregates: types and rules without input or output,
//! which take the time as a parameter. The exceptions are [`platform`],
//! [`host`], [`port`] and [`node`], as tasks and encodings are kept apart from
//! the aggregates.
//!
//! # Examples
//!
//! ```
//! let tree = celerylead::settings::parse(
//!     r#"
//!     [[customer]]
//!     name = "parish"
//!     set = { rate = 100, burst = 400 }
//!     "#,
//! )
//! .unwrap();
//! assert_eq!(tree.customer("parish").unwrap().values.burst, 400);
//! ```

pub mod catalog;
mod clock;
pub mod customer;
mod intake;
pub mod log;
pub mod membership;
mod metrics;
pub mod model;
pub mod operator;
pub mod placement;
pub mod platform;
pub mod port;
pub mod quarantine;
pub mod relay;
pub mod request;
pub mod roster;
pub mod runner;
pub mod settings;
mod sorted;
mod step;
mod store_version;
mod tasks;
pub mod usage;
mod wire;

pub use self::{
    clock::{ClockBound, EpochMillis, HostClock, MAX_CLOCK_SKEW},
    sorted::SortedTable,
    step::{StepContext, StepName},
    store_version::StoreVersion,
    tasks::{host, node},
    wire::peer::{PEER_NAME, PeerIdentity},
};
