//! Ansible's inventory: hosts in groups with nested children, and which of a host's variables has precedence.
//!
//! From the weakest to the strongest: group variables in inventory files, group by group; `group_vars/all`; the other
//! `group_vars`, group by group; host variables in inventory files; `host_vars`. Groups are ordered by depth (children
//! take precedence over parents), then by `ansible_group_priority`, then by name, and the last one has precedence. Of
//! several files the later one has precedence.

mod explain;
mod groups;
mod hosts;
mod tree;
mod variables;

pub use explain::{ExplainedValue, ExplainedVariable};
pub use hosts::Hosts;
pub use variables::Layer;
pub(super) use variables::{HostVariables, VariableMap};
