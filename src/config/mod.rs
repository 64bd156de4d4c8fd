//! Configuration: the platform's file, the environment and the operator's file, as typed settings.
//!
//! This is the only place where the platform's field names (`aimMs`, `worth`, `mustAskInMs`, ...) meet the terms of
//! the field. `net` and `cli` load a [`Config`] at startup and again at SIGHUP; the discovery watch reads endpoint
//! lists with [`parse_endpoint_list`]; the simulator adapter reads its facts with [`parse_platform_settings`]. Nothing
//! here decides or keeps state.

mod endpoint_list;
mod error;
mod load;
pub mod operator;
mod platform_settings;

pub use endpoint_list::parse_endpoint_list;
pub use error::ConfigError;
pub use load::Config;
pub use operator::Operator;
pub use platform_settings::{PlatformSettings, parse_platform_settings, zone_index};
