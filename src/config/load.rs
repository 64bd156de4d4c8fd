//! Loading the configuration of one aggregator: at startup from the environment and `RELAY_CONFIG`, at SIGHUP from the
//! file alone.

use super::endpoint_list::parse_endpoint_list;
use super::error::ConfigError;
use super::operator::Operator;
use super::platform_settings::{PlatformSettings, parse_platform_settings};
use crate::endpoints::EndpointList;
use crate::json::{Field, FieldError, KeyPaths};
use miniserde::json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::{env, fs};

/// Environment variable with the path of the platform's file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable with the path of the operator file.
const OPERATOR_VARIABLE: &str = "SAILMUX_OPERATOR";
/// Maximum number of file descriptors, if the file does not set it.
const DEFAULT_MAX_DESCRIPTORS: f64 = 1024.0;
/// Maximum resident memory in MB, if the file does not set it.
const DEFAULT_MAX_MEMORY_MB: f64 = 192.0;
const BYTES_PER_MB: f64 = 1e6;
/// Replaces an invalid address while errors are collected; it is never used.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The complete configuration of an aggregator.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the aggregator.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: Arc<str>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Listen address of the admin interface; `None` turns it off.
    pub admin_address: Option<SocketAddr>,
    /// Maximum number of file descriptors of the process; 1024 by default.
    pub max_descriptors: usize,
    /// Maximum resident memory of the process, in bytes; 192 MB by default.
    pub max_memory_bytes: usize,
    /// The initial endpoint list, the key `known` of the file; empty if the file has none.
    pub known_endpoints: EndpointList,
    /// The platform's settings.
    pub settings: PlatformSettings,
    /// The keys present in the file's `settings` and `limits`, for [`Config::reload`].
    pub setting_keys: KeyPaths,
    /// The settings of the operator file.
    pub operator: Operator,
}

impl Config {
    /// Loads the configuration at startup: the file that `RELAY_CONFIG` names, and the operator file that
    /// `SAILMUX_OPERATOR` names, if set. `RELAY_NAME`, `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_MANAGEMENT` take
    /// precedence over the file.
    ///
    /// # Errors
    /// Why the configuration cannot be used, with the file and the field.
    pub fn load() -> Result<Self, ConfigError> {
        let path = config_path()?;
        let operator = match env::var(OPERATOR_VARIABLE) {
            Ok(path) => Operator::load(Path::new(&path)).map_err(ConfigError::Diagnostics)?,
            Err(_) => Operator::default(),
        };
        let config = Self::read(Path::new(&path), environment_variable)?;
        Ok(Config { operator, ..config })
    }

    /// Reads the file that `RELAY_CONFIG` names again, at SIGHUP. The other environment variables are ignored: they
    /// were set at startup, and the file is newer. `in_force` are the keys of the configuration in force.
    ///
    /// # Errors
    /// Why the new configuration is rejected, with the file and the field. A key that is in force but missing from the
    /// new file is an error: otherwise each setting lost from a truncated file would fall back to its default.
    pub fn reload(in_force: &KeyPaths) -> Result<Self, ConfigError> {
        let path = config_path()?;
        let config = Self::read(Path::new(&path), no_override)?;
        if let Some(key) = in_force.difference(&config.setting_keys).next() {
            let message = "is missing, but the configuration in force has it".to_owned();
            return Err(ConfigError::Field(path, FieldError { field: key.clone(), message }));
        }
        Ok(config)
    }

    /// Reads a platform's file alone, without the environment and the operator file.
    ///
    /// # Errors
    /// The first problem of the file, with the field.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        Self::read(path, no_override)
    }

    /// All problems of a platform's file, for `sailmux check`. Whether settings contradict each other is checked only
    /// if each field is valid.
    pub fn check_file(path: &Path) -> Vec<ConfigError> {
        let file = path.display().to_string();
        let value = match read_json(path, &file) {
            Ok(value) => value,
            Err(error) => return vec![error],
        };
        let (root, errors) = Field::collecting_errors(&value);
        let first_error = Self::from_json(&root, no_override).err();
        let mut found = errors.take();
        if found.is_empty() {
            found.extend(first_error);
        }
        found.into_iter().map(|error| ConfigError::Field(file.clone(), error)).collect()
    }

    fn read(path: &Path, override_of: Override) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let value = read_json(path, &file)?;
        Self::from_json(&Field::root(&value), override_of).map_err(|error| ConfigError::Field(file, error))
    }

    /// Reads the sections in the order in which their errors are reported.
    fn from_json(root: &Field<'_>, override_of: Override) -> Result<Self, FieldError> {
        let listen_text = text_or_override(root, "listen", override_of("RELAY_LISTEN"))?;
        let admin_address = parse_admin_address(root, override_of("RELAY_MANAGEMENT"))?;
        let settings = root.get("settings");
        let limits = root.get("limits");
        Ok(Config {
            name: text_or_override(root, "name", override_of("RELAY_NAME"))?,
            listen: parse_address(&root.get("listen"), &listen_text)?,
            discovery: text_or_override(root, "discovery", override_of("RELAY_DISCOVERY"))?.into(),
            admin_address,
            seed: parse_seed(&root.get("seed"))?,
            max_descriptors: limits.get("sockets").f64_or(DEFAULT_MAX_DESCRIPTORS)? as usize,
            max_memory_bytes: parse_max_memory(&limits)?,
            known_endpoints: parse_known_endpoints(root)?,
            settings: parse_platform_settings(&settings)?,
            setting_keys: &settings.key_paths() | &limits.key_paths(),
            operator: Operator::default(),
        })
    }
}

/// Returns the value of an environment variable that takes precedence over the file, if it is set.
type Override = fn(&str) -> Option<String>;

fn environment_variable(name: &str) -> Option<String> {
    env::var(name).ok()
}

fn no_override(_name: &str) -> Option<String> {
    None
}

fn config_path() -> Result<String, ConfigError> {
    env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::Missing(CONFIG_VARIABLE))
}

fn read_json(path: &Path, file: &str) -> Result<Value, ConfigError> {
    let text = fs::read_to_string(path).map_err(|error| ConfigError::Unreadable(file.to_owned(), error))?;
    miniserde::json::from_str(&text)
        .map_err(|_| ConfigError::Malformed(file.to_owned(), "is not JSON".to_owned()))
}

fn text_or_override(
    root: &Field<'_>,
    field: &str,
    override_text: Option<String>,
) -> Result<String, FieldError> {
    match override_text {
        Some(text) => Ok(text),
        None => Ok(root.get(field).as_str()?.to_owned()),
    }
}

fn parse_address(field: &Field<'_>, text: &str) -> Result<SocketAddr, FieldError> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => field.report(field.error("is not an address and port"), PLACEHOLDER_ADDRESS),
    }
}

fn parse_admin_address(
    root: &Field<'_>,
    override_text: Option<String>,
) -> Result<Option<SocketAddr>, FieldError> {
    let field = root.get("management");
    if override_text.is_none() && field.clone().optional().is_none() {
        return Ok(None);
    }
    let text = text_or_override(root, "management", override_text)?;
    Ok(Some(parse_address(&field, &text)?))
}

fn parse_max_memory(limits: &Field<'_>) -> Result<usize, FieldError> {
    let megabytes = limits.get("memory_mb").f64_or(DEFAULT_MAX_MEMORY_MB)?;
    Ok((megabytes * BYTES_PER_MB) as usize)
}

fn parse_seed(field: &Field<'_>) -> Result<u64, FieldError> {
    match u64::from_str_radix(field.as_str()?, 16) {
        Ok(seed) => Ok(seed),
        Err(_) => field.report(field.error("is not a hexadecimal number"), 0),
    }
}

fn parse_known_endpoints(root: &Field<'_>) -> Result<EndpointList, FieldError> {
    match root.get("known").optional() {
        Some(list) => Ok(EndpointList { complete: true, ..parse_endpoint_list(&list)? }),
        None => Ok(EndpointList::default()),
    }
}
