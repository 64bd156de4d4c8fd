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

/// Names the platform's file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Names the operator's file.
const OPERATOR_VARIABLE: &str = "SAILMUX_OPERATOR";
/// Descriptors that the process may hold, where the file does not say.
const DEFAULT_MAX_DESCRIPTORS: f64 = 1024.0;
/// Stands for a faulty address while errors are collected; it is never used.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The whole configuration of an aggregator.
#[derive(Clone, Debug)]
pub struct Config {
    /// The aggregator's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: Arc<str>,
    /// Seed of the random source.
    pub seed: u64,
    /// Where the admin interface listens, if at all.
    pub admin_address: Option<SocketAddr>,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoint list that this aggregator had last.
    pub known_endpoints: EndpointList,
    /// The platform's settings.
    pub settings: PlatformSettings,
    /// The keys that the file has in `settings` and `limits`, for [`Config::reload`].
    pub setting_keys: KeyPaths,
    /// What the operator's file sets up.
    pub operator: Operator,
}

impl Config {
    /// Loads the configuration at startup: the file that `RELAY_CONFIG` names, and the operator's file that
    /// `SAILMUX_OPERATOR` names, if set. `RELAY_NAME`, `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_MANAGEMENT` take
    /// precedence over the file.
    ///
    /// # Errors
    /// What keeps the program from starting, with the file and the field.
    pub fn load() -> Result<Self, ConfigError> {
        let path = config_path()?;
        let operator = match env::var(OPERATOR_VARIABLE) {
            Ok(path) => Operator::load(Path::new(&path)).map_err(ConfigError::Diagnostics)?,
            Err(_) => Operator::default(),
        };
        let config = Self::read(Path::new(&path), environment_variable)?;
        Ok(Config { operator, ..config })
    }

    /// Reads the file that `RELAY_CONFIG` names again, at SIGHUP. The other environment variables date from the start
    /// and are older than the file now, so they are ignored. `in_force` are the keys of the configuration in force.
    ///
    /// # Errors
    /// Why the old settings stay in force, with the file and the field. A key that is in force and missing in the new
    /// file is an error: in a truncated file, each lost setting would otherwise fall back to its default.
    pub fn reload(in_force: &KeyPaths) -> Result<Self, ConfigError> {
        let path = config_path()?;
        let config = Self::read(Path::new(&path), no_override)?;
        if let Some(key) = in_force.difference(&config.setting_keys).next() {
            let message = "is missing, the file in force has it".to_owned();
            return Err(ConfigError::Field(path, FieldError { field: key.clone(), message }));
        }
        Ok(config)
    }

    /// Reads a platform's file by itself, without environment and operator's file.
    ///
    /// # Errors
    /// The first thing that is wrong with it, with the field.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        Self::read(path, no_override)
    }

    /// Everything that is wrong with a platform's file, for `sailmux check`. What the settings say together is checked
    /// only once each field by itself is right.
    pub fn check_file(path: &Path) -> Vec<ConfigError> {
        let file = path.display().to_string();
        let value = match read_json(path, &file) {
            Ok(value) => value,
            Err(error) => return vec![error],
        };
        let (root, errors) = Field::collecting_errors(&value);
        let first_fatal = Self::from_json(&root, no_override).err();
        let mut found = errors.take();
        if found.is_empty() {
            found.extend(first_fatal);
        }
        found.into_iter().map(|error| ConfigError::Field(file.clone(), error)).collect()
    }

    fn read(path: &Path, override_of: Override) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let value = read_json(path, &file)?;
        Self::from_json(&Field::root(&value), override_of).map_err(|error| ConfigError::Field(file, error))
    }

    /// Reads the sections in the order in which their errors are to be reported.
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
            known_endpoints: parse_known_endpoints(root)?,
            settings: parse_platform_settings(&settings)?,
            setting_keys: &settings.key_paths() | &limits.key_paths(),
            operator: Operator::default(),
        })
    }
}

/// The value of an environment variable that takes precedence over the file, if any.
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
        Err(_) => field.report(field.error("is no address and port"), PLACEHOLDER_ADDRESS),
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

fn parse_seed(field: &Field<'_>) -> Result<u64, FieldError> {
    match u64::from_str_radix(field.as_str()?, 16) {
        Ok(seed) => Ok(seed),
        Err(_) => field.report(field.error("is no hex number"), 0),
    }
}

fn parse_known_endpoints(root: &Field<'_>) -> Result<EndpointList, FieldError> {
    match root.get("known").optional() {
        Some(list) => Ok(EndpointList { complete: true, ..parse_endpoint_list(&list)? }),
        None => Ok(EndpointList::default()),
    }
}
