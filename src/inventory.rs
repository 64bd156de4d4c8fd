//! An inventory of nodes as configuration tools keep them: Ansible-style YAML, or CSV with a header row. It
//! takes the place of discovery where an operator's file names one, and is read again when it changes.

use crate::api::ReplicaState;
use crate::json::FieldError;
use crate::membership::NodeEntry;
use miniserde::json::{Number, Value};
use std::collections::BTreeMap;
use std::path::Path;

/// A node's variables by name; in CSV its row.
type Vars = BTreeMap<String, String>;

/// Groups within groups, at most: against an inventory that would never end.
const DEPTH_MOST: usize = 16;

/// Reads an inventory; one whose name ends in `.csv` is CSV, any other YAML.
///
/// # Errors
/// The first field that is missing or makes no sense is named.
pub fn parse(path: &Path, text: &str) -> Result<Vec<NodeEntry>, FieldError> {
    let csv = path.extension().is_some_and(|e| e.eq_ignore_ascii_case("csv"));
    let hosts = if csv { read_csv(text)? } else { read_yaml(text)? };
    hosts.iter().map(|(name, vars)| entry(name, vars)).collect()
}

fn wrong(field: &str, problem: impl Into<String>) -> FieldError {
    FieldError { field: field.to_owned(), problem: problem.into() }
}

/// The columns `name`, `host`, `port` and `cell` are needed; other columns are variables as in YAML.
fn read_csv(text: &str) -> Result<BTreeMap<String, Vars>, FieldError> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let header = reader.headers().map_err(|e| wrong("header", e.to_string()))?.clone();
    let mut hosts = BTreeMap::new();
    for (i, row) in reader.records().enumerate() {
        let place = format!("row {}", i + 1);
        let row = row.map_err(|e| wrong(&place, e.to_string()))?;
        let cells = header.iter().zip(row.iter()).filter(|(_, value)| !value.is_empty());
        let mut vars: Vars = cells.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let name = vars.remove("name").ok_or_else(|| wrong(&format!("{place}.name"), "is missing"))?;
        if hosts.insert(name.clone(), vars).is_some() {
            return Err(wrong(&format!("{place}.name"), format!("{name} is there twice")));
        }
    }
    Ok(hosts)
}

/// Groups with `hosts`, `vars` and `children`, from `all` down; a host's variables stand over its groups'.
fn read_yaml(text: &str) -> Result<BTreeMap<String, Vars>, FieldError> {
    let value = crate::yaml::parse(text).map_err(|e| wrong("inventory", e))?;
    let Value::Object(groups) = &value else { return Err(wrong("inventory", "must be groups by name")) };
    let mut hosts = BTreeMap::new();
    for (name, group) in groups {
        read_group(name, group, &Vars::new(), 0, &mut hosts)?;
    }
    Ok(hosts)
}

fn read_group(
    path: &str,
    group: &Value,
    above: &Vars,
    depth: usize,
    hosts: &mut BTreeMap<String, Vars>,
) -> Result<(), FieldError> {
    if depth > DEPTH_MOST {
        return Err(wrong(path, "lies too deep"));
    }
    let group = match group {
        Value::Null => return Ok(()),
        Value::Object(group) => group,
        _ => return Err(wrong(path, "must be a group")),
    };
    let mut vars = above.clone();
    for (key, value) in group {
        let place = format!("{path}.{key}");
        match key.as_str() {
            "vars" => vars.extend(read_vars(&place, value)?),
            "hosts" | "children" => {}
            _ => return Err(wrong(&place, "must be hosts, vars or children")),
        }
    }
    for (part, deeper) in [("hosts", false), ("children", true)] {
        let members = match group.get(part) {
            None | Some(Value::Null) => continue,
            Some(Value::Object(members)) => members,
            Some(_) => return Err(wrong(&format!("{path}.{part}"), "must be entries by name")),
        };
        for (name, member) in members {
            let place = format!("{path}.{part}.{name}");
            if deeper {
                read_group(&place, member, &vars, depth + 1, hosts)?;
            } else {
                let known = hosts.entry(name.clone()).or_default();
                known.extend(vars.clone());
                known.extend(read_vars(&place, member)?);
            }
        }
    }
    Ok(())
}

fn read_vars(path: &str, value: &Value) -> Result<Vars, FieldError> {
    let vars = match value {
        Value::Null => return Ok(Vars::new()),
        Value::Object(vars) => vars,
        _ => return Err(wrong(path, "must be variables by name")),
    };
    let text = |name: &String, value: &Value| match value {
        Value::String(s) => Some((name.clone(), s.clone())),
        Value::Bool(b) => Some((name.clone(), b.to_string())),
        Value::Number(Number::U64(n)) => Some((name.clone(), n.to_string())),
        Value::Number(Number::I64(n)) => Some((name.clone(), n.to_string())),
        Value::Number(Number::F64(n)) => Some((name.clone(), n.to_string())),
        // Lists and the like belong to other users of the same inventory.
        _ => None,
    };
    Ok(vars.iter().filter_map(|(name, value)| text(name, value)).collect())
}

fn entry(name: &str, vars: &Vars) -> Result<NodeEntry, FieldError> {
    let place = |var: &str| format!("{name}.{var}");
    let get = |names: &[&str]| names.iter().find_map(|n| vars.get(*n)).map(String::as_str);
    let number = |var: &str, absent: f64| match vars.get(var).map(|v| v.parse::<f64>()) {
        None => Ok(absent),
        Some(Ok(n)) if n.is_finite() && n >= 0.0 => Ok(n),
        Some(_) => Err(wrong(&place(var), "must be a number, 0 or above")),
    };
    let host = get(&["ansible_host", "host"]).unwrap_or(name);
    let port = get(&["port", "ansible_port"]).ok_or_else(|| wrong(&place("port"), "is missing"))?;
    let port: u16 = port.parse().map_err(|_| wrong(&place("port"), "must be a port"))?;
    let cell = vars.get("cell").ok_or_else(|| wrong(&place("cell"), "is missing"))?;
    let scheme = match get(&["protocol"]) {
        None | Some("frames") => "",
        Some("flight") => "grpc+tcp://",
        Some(_) => return Err(wrong(&place("protocol"), "must be frames or flight")),
    };
    Ok(NodeEntry {
        name: name.into(),
        address: format!("{scheme}{host}:{port}").into(),
        zone: get(&["zone"]).unwrap_or("").into(),
        cell: cell.parse().map_err(|_| wrong(&place("cell"), "must be a whole number"))?,
        weight: number("weight", 1.0)?,
        state: match get(&["state"]) {
            None | Some("ready") => ReplicaState::Up,
            Some("draining") => ReplicaState::Draining,
            Some(_) => return Err(wrong(&place("state"), "must be ready or draining")),
        },
        started_unix: number("started_at_ms", 0.0)?,
    })
}
