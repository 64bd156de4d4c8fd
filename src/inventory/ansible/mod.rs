//! Ansible's inventory model: hosts, nested groups, and the precedence of variables.
//!
//! Sources of variables in ascending order of precedence: group variables in inventory files, group by group;
//! `group_vars/all`; the other `group_vars`, group by group; host variables in inventory files; `host_vars`. Groups are
//! ordered by depth (children override parents), then by `ansible_group_priority`, then by name; the last one takes
//! precedence. Among several files of the same kind the later one takes precedence.

mod explain;
mod groups;
mod hosts;
mod tree;
mod variables;

pub use explain::{ExplainedValue, ExplainedVariable};
pub use hosts::Hosts;
pub use variables::Layer;
pub(super) use variables::{HostVariables, VariableMap};
