//! This crate has no library code: it holds the system tests under `tests` and
//! the benchmarks under `benches`.
