//! Reads inventory files of configuration management tools (CSV and Ansible's YAML) into endpoint records.
//!
//! The result is either the complete list or all problems with their files, lines and fields, never a part of the list.
//! Time and memory are bounded. Only [`load_files`] and [`signature()`] access the file system; everything else works
//! on content in memory. Variables that are not mapped to a field are ignored. Templates are never evaluated: one in a
//! variable that is mapped to a field is a problem.
//!
//! The inventory watcher and the operator configuration call [`load_files`] and [`read`]; the command line prints the
//! resulting list and explains the variables of a host.

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
