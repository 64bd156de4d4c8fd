//! Inventory file formats and the scanner for discovery's JSON: which input is accepted, which is rejected and with
//! which diagnostics, and the effects of truncated files.

mod ansible;
mod csv;
mod json_scanner;
mod round_trip;
mod support;
mod truncation;
