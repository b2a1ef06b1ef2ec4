//! Tests only: see the `tests` folder.
