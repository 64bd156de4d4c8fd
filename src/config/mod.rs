//! Configuration: the platform's file, the environment and the operator file, as typed settings.
//!
//! The platform's field names (`aimMs`, `worth`, `mustAskInMs`, ...) are mapped to the names in the code here and
//! nowhere else. `net` and `cli` load a [`Config`] at startup and again at SIGHUP; the discovery watch reads endpoint
//! lists with [`parse_endpoint_list`]; the simulator adapter reads its `facts` with [`parse_platform_settings`]. This
//! module makes no decisions and keeps no state.

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
