//! File formats of inventories and of discovery's JSON: what is read, what is rejected with its line, and what a truncated
//! file can do.

mod ansible;
mod csv;
mod json_scanner;
mod round_trip;
mod support;
mod truncation;
