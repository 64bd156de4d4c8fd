//! YAML, read into the same tree as JSON, so that fields are taken and errors told in one way.

use miniserde::json::{Array, Number, Object, Value};
use yaml_rust2::{Yaml, YamlLoader};

/// Reads the first document of a text.
///
/// # Errors
/// Why it is no YAML, or what in it has no place in such a file.
pub fn parse(text: &str) -> Result<Value, String> {
    let documents = YamlLoader::load_from_str(text).map_err(|e| format!("is not YAML: {e}"))?;
    documents.first().map_or(Ok(Value::Null), convert)
}

fn convert(yaml: &Yaml) -> Result<Value, String> {
    Ok(match yaml {
        Yaml::Null => Value::Null,
        Yaml::Boolean(b) => Value::Bool(*b),
        Yaml::Integer(n) if *n >= 0 => Value::Number(Number::U64(n.unsigned_abs())),
        Yaml::Integer(n) => Value::Number(Number::I64(*n)),
        Yaml::Real(text) => match yaml.as_f64() {
            Some(n) => Value::Number(Number::F64(n)),
            None => Value::String(text.clone()),
        },
        Yaml::String(text) => Value::String(text.clone()),
        Yaml::Array(entries) => {
            let mut array = Array::new();
            for entry in entries {
                array.push(convert(entry)?);
            }
            Value::Array(array)
        }
        Yaml::Hash(fields) => {
            let mut object = Object::new();
            for (name, value) in fields {
                let name = match name {
                    Yaml::String(name) => name.clone(),
                    Yaml::Integer(n) => n.to_string(),
                    other => return Err(format!("has a field whose name is no text: {other:?}")),
                };
                object.insert(name, convert(value)?);
            }
            Value::Object(object)
        }
        Yaml::Alias(_) | Yaml::BadValue => return Err("has a value that cannot be read".to_owned()),
    })
}
