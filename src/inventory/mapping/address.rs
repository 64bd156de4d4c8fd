//! Parses addresses in the notations of configuration management tools.

use super::error::FieldError;
use std::net::Ipv6Addr;

/// Maximum length of a network prefix, in bits (IPv6).
const MAX_PREFIX_BITS: u8 = 128;

/// The protocol between the aggregator and a leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    Frames,
    Flight,
}

impl Protocol {
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        match text {
            "frames" => Ok(Protocol::Frames),
            "flight" => Ok(Protocol::Flight),
            other => Err(FieldError::UnknownProtocol(other.to_owned())),
        }
    }
}

/// A host with the port and protocol that its notation includes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Address {
    pub host: String,
    pub port: Option<u16>,
    pub protocol: Protocol,
}

impl Address {
    /// Parses `h`, `h:1`, `10.0.0.1/24`, `::1`, `[::1]:1`, and each with the prefix `grpc+tcp://` or `grpc://`.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        Address::parse_parts(text).ok_or_else(|| FieldError::InvalidAddress(text.to_owned()))
    }

    fn parse_parts(text: &str) -> Option<Self> {
        let (protocol, authority) = match text.split_once("://") {
            None => (Protocol::Frames, text),
            Some(("grpc" | "grpc+tcp", authority)) => (Protocol::Flight, authority),
            Some(_) => return None,
        };
        let authority = without_prefix_length(authority, protocol)?;
        let (host, port) = split_port(authority)?;
        if !is_host(host) {
            return None;
        }
        let port = match port {
            Some(port) => Some(parse_port(port)?),
            None => None,
        };
        Some(Address { host: host.to_owned(), port, protocol })
    }
}

/// Parses a port from 1 to 65535.
pub(super) fn parse_port(text: &str) -> Option<u16> {
    text.parse().ok().filter(|port| *port > 0)
}

/// Removes the suffix of an interface address (its network prefix length, as in `10.0.0.1/24`) or the trailing slash of
/// a URL. Any other suffix gives `None`.
fn without_prefix_length(authority: &str, protocol: Protocol) -> Option<&str> {
    let Some((authority, suffix)) = authority.split_once('/') else { return Some(authority) };
    let is_prefix_length = suffix.parse::<u8>().is_ok_and(|bits| bits <= MAX_PREFIX_BITS);
    let is_url_path = suffix.is_empty() && protocol == Protocol::Flight;
    (is_prefix_length || is_url_path).then_some(authority)
}

fn split_port(authority: &str) -> Option<(&str, Option<&str>)> {
    if is_ipv6(authority) {
        return Some((authority, None));
    }
    if let Some(bracketed) = authority.strip_prefix('[') {
        let (host, suffix) = bracketed.split_once(']')?;
        if !is_ipv6(host) {
            return None;
        }
        if suffix.is_empty() {
            return Some((host, None));
        }
        return Some((host, Some(suffix.strip_prefix(':')?)));
    }
    match authority.split_once(':') {
        Some((host, port)) => Some((host, Some(port))),
        None => Some((authority, None)),
    }
}

pub(super) fn is_ipv6(host: &str) -> bool {
    host.parse::<Ipv6Addr>().is_ok()
}

fn is_host(host: &str) -> bool {
    let is_invalid = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '/' | '[' | ']' | '@');
    let has_stray_colon = host.contains(':') && !is_ipv6(host);
    !host.is_empty() && !host.contains(is_invalid) && !has_stray_colon
}
