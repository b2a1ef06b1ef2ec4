//! Serving system for many models and many customers.
//!
//! Celerylead stands between callers and backend servers: it knows callers
//! by their keys, keeps each customer to its rate over all hosts together,
//! chooses the backend server for each request and passes the answer on.
//! Operators change a tree of settings while traffic runs.
//!
//! | part | what it holds |
//! |---|---|
//! | [`settings`] | the tree: inheritance, checks, revisions |
//! | [`customer`] | keys, rates and how they are divided |
//! | [`model`] | models and adapters |
//! | [`runner`] | backend servers: life cycle, memory ledger |
//! | [`placement`] | which model is resident where |
//! | [`request`] | life cycle, refusals, routing, the fair queue |
//! | [`membership`] | hosts and their leases |
//! | [`usage`] | what is billed |
//! | [`platform`] | the table service and the keys of our rows |
//! | [`host`] | a whole host: sockets, tasks, shutdown |
//! | [`catalog`] | one revision of an operator's routes and services |
//! | [`roster`] | which runners a registry lists |
//! | [`relay`] | which runner gets a call |
//! | [`port`] | messages and encodings of the systems outside |
//! | [`node`] | a whole host behind an adapter |
//!
//! All but the last rows of either kind are aggregates: types and rules
//! without input or output, which take the time as a parameter. Tasks and
//! encodings are apart.
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
pub mod log;
pub mod membership;
mod metrics;
pub mod model;
pub mod operator;
pub mod placement;
pub mod platform;
pub mod port;
pub mod relay;
pub mod request;
pub mod roster;
pub mod runner;
pub mod settings;
mod sorted;
mod step;
mod tasks;
pub mod usage;
mod wire;

pub use self::{
    clock::{ClockBound, EpochMillis, HostClock, MAX_CLOCK_SKEW},
    sorted::SortedTable,
    step::{StepContext, StepName},
    tasks::{host, node},
    wire::peer::{PEER_NAME, PeerIdentity},
};
