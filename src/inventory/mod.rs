//! Inventory files as configuration tools keep them, CSV and Ansible's YAML, read into endpoint records.
//!
//! The result is a complete list or all problems with their files, lines and fields, in bounded time and memory, and
//! never a part of a list. [`load_files`] is the half that reads files; everything else works on their content. Variables
//! without a meaning here are ignored. Templates are never evaluated: one in a variable that is needed is a problem.
//!
//! The inventory watcher and the operator's configuration call [`load_files`] and [`read`]; the command line prints and
//! explains what they find.

mod ansible;
mod columns;
mod completeness;
mod error;
mod expand;
mod files;
mod list;
mod mapping;
mod options;
mod print;
mod read;
mod table;

pub use ansible::{ExplainedValue, ExplainedVariable, Hosts, Layer};
pub use columns::columns;
pub use error::HostError;
pub use expand::{RangeError, expand};
pub use files::{Bundle, BundleFile, FileSignature, FileStamp, LoadedFiles, Role, load_files, signature};
pub use list::{digest, endpoints};
pub use mapping::{Field, Mapping};
pub use options::{Bounds, Format, Options};
pub use print::{Format as PrintFormat, print};
pub use read::{hosts, read};
