//! YAML as a tree that knows its lines. Aliases share what they name, so that a tree never takes more memory than
//! its text earns; a tree that would be huge if written out, as an alias bomb is, is turned down unexpanded.

use std::collections::HashMap;
use std::rc::Rc;
use yaml_rust2::parser::{Event, Parser, Tag};
use yaml_rust2::scanner::TScalarStyle;

/// What a text may hold at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Values within values.
    pub depth: usize,
    /// Values, with aliases written out.
    pub values: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { depth: 64, values: 2_000_000 }
    }
}

/// What is wrong with a text, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct YamlError {
    /// The line, from 1.
    pub line: u32,
    /// What is wrong.
    pub problem: String,
}

/// A value and its line.
#[derive(Clone, Debug)]
pub struct Node {
    /// The line, from 1.
    pub line: u32,
    /// Its tag's suffix, as `vault`; empty for none.
    pub tag: String,
    /// Values in it and itself, with aliases written out.
    pub size: u64,
    /// The value.
    pub kind: Kind,
}

/// A value.
#[derive(Clone, Debug)]
pub enum Kind {
    /// Text, and whether it stands plain, so that it may be a number, a truth value or nothing.
    Scalar(String, bool),
    /// A list.
    List(Vec<Rc<Node>>),
    /// Fields in order, merge keys resolved; each name once, with the line of the name.
    Map(Vec<Entry>),
}

/// A field of a map.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// The line of the name.
    pub line: u32,
    /// Its value.
    pub value: Rc<Node>,
}

impl Node {
    /// Nothing: left out, `~` or `null`.
    pub fn is_null(&self) -> bool {
        matches!(&self.kind, Kind::Scalar(s, true) if matches!(s.as_str(), "" | "~" | "null" | "Null" | "NULL"))
    }

    /// A single value's text as written.
    pub fn text(&self) -> Option<&str> {
        match &self.kind {
            Kind::Scalar(s, _) if !self.is_null() => Some(s),
            _ => None,
        }
    }

    /// The fields of a map.
    pub fn map(&self) -> Option<&[Entry]> {
        match &self.kind {
            Kind::Map(entries) => Some(entries),
            _ => None,
        }
    }

    /// The entries of a list.
    pub fn list(&self) -> Option<&[Rc<Node>]> {
        match &self.kind {
            Kind::List(entries) => Some(entries),
            _ => None,
        }
    }

    /// A field of a map.
    pub fn get(&self, name: &str) -> Option<&Rc<Node>> {
        self.map()?.iter().find(|e| e.name == name).map(|e| &e.value)
    }

    /// A truth value, in the words of YAML 1.1 that configuration tools use.
    pub fn flag(&self) -> Option<bool> {
        let Kind::Scalar(text, true) = &self.kind else { return None };
        match text.to_ascii_lowercase().as_str() {
            "true" | "yes" | "on" => Some(true),
            "false" | "no" | "off" => Some(false),
            _ => None,
        }
    }

    /// What it is, for messages.
    pub fn what(&self) -> &'static str {
        match &self.kind {
            _ if self.is_null() => "nothing",
            Kind::Scalar(..) => "a single value",
            Kind::List(_) => "a list",
            Kind::Map(_) => "fields by name",
        }
    }
}

/// Reads the one document of a text; nothing where there is none.
///
/// # Errors
/// Why it is no YAML, or what in it goes beyond the bounds.
pub fn parse(text: &str, bounds: &Bounds) -> Result<Rc<Node>, YamlError> {
    let mut build = Build { bounds, stack: Vec::new(), anchors: HashMap::new(), root: None, made: 0 };
    let mut parser = Parser::new_from_str(text);
    loop {
        let (event, mark) = parser.next_token().map_err(|e| YamlError {
            line: e.marker().line().max(1) as u32,
            problem: format!("is not YAML: {}", e.info()),
        })?;
        let line = mark.line().max(1) as u32;
        match event {
            Event::StreamEnd => break,
            Event::DocumentStart if build.root.is_some() => return Err(wrong(line, "a second document")),
            event => build.event(event, line)?,
        }
    }
    Ok(build.root.unwrap_or_else(|| scalar("", true, 1)))
}

fn wrong(line: u32, problem: impl Into<String>) -> YamlError {
    YamlError { line, problem: problem.into() }
}

fn scalar(text: &str, plain: bool, line: u32) -> Rc<Node> {
    Rc::new(Node { line, tag: String::new(), size: 1, kind: Kind::Scalar(text.to_owned(), plain) })
}

/// A list or a map that is not closed yet.
struct Open {
    line: u32,
    anchor: usize,
    tag: String,
    children: Children,
}

enum Children {
    List(Vec<Rc<Node>>),
    Map { entries: Vec<Entry>, merges: Vec<Rc<Node>>, key: Option<(String, u32)>, seen: HashMap<String, u32> },
}

struct Build<'a> {
    bounds: &'a Bounds,
    stack: Vec<Open>,
    anchors: HashMap<usize, Rc<Node>>,
    root: Option<Rc<Node>>,
    /// Values made so far, merged fields included: what bounds the memory.
    made: u64,
}

impl Build<'_> {
    fn event(&mut self, event: Event, line: u32) -> Result<(), YamlError> {
        let suffix = |tag: Option<Tag>| tag.map(|t| t.suffix).unwrap_or_default();
        match event {
            Event::Scalar(text, style, anchor, tag) => {
                let tag = suffix(tag);
                let plain = style == TScalarStyle::Plain && (tag.is_empty() || tag != "str");
                let node = Node { line, tag, size: 1, kind: Kind::Scalar(text, plain) };
                self.put(Rc::new(node), anchor)
            }
            Event::SequenceStart(anchor, tag) => {
                self.open(line, anchor, suffix(tag), Children::List(Vec::new()))
            }
            Event::MappingStart(anchor, tag) => {
                let children = Children::Map {
                    entries: Vec::new(),
                    merges: Vec::new(),
                    key: None,
                    seen: HashMap::new(),
                };
                self.open(line, anchor, suffix(tag), children)
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(id) => {
                let Some(node) = self.anchors.get(&id).cloned() else {
                    return Err(wrong(line, "an alias for what is not complete"));
                };
                self.put(node, 0)
            }
            _ => Ok(()),
        }
    }

    fn open(&mut self, line: u32, anchor: usize, tag: String, children: Children) -> Result<(), YamlError> {
        if self.stack.len() >= self.bounds.depth {
            return Err(wrong(line, format!("lies deeper than {}", self.bounds.depth)));
        }
        if matches!(self.stack.last(), Some(Open { children: Children::Map { key: None, .. }, .. })) {
            return Err(wrong(line, "a field whose name is no text"));
        }
        self.stack.push(Open { line, anchor, tag, children });
        Ok(())
    }

    fn close(&mut self) -> Result<(), YamlError> {
        let Some(Open { line, anchor, tag, children }) = self.stack.pop() else { return Ok(()) };
        let kind = match children {
            Children::List(entries) => Kind::List(entries),
            Children::Map { mut entries, merges, mut seen, .. } => {
                // What stands in the map itself goes before what is merged in, and an earlier merge before a later.
                for merged in merges {
                    let maps: Vec<Rc<Node>> = match &merged.kind {
                        Kind::List(list) => list.clone(),
                        _ => vec![merged],
                    };
                    for map in maps {
                        let fields = map.map().ok_or_else(|| wrong(map.line, "a merge of what is no map"))?;
                        for field in fields {
                            if seen.insert(field.name.clone(), field.line).is_none() {
                                entries.push(field.clone());
                                self.made += 1;
                            }
                        }
                        if self.made > self.bounds.values {
                            return Err(self.too_many(line));
                        }
                    }
                }
                Kind::Map(entries)
            }
        };
        let children: u64 = match &kind {
            Kind::List(list) => list.iter().fold(0, |sum, n| sum.saturating_add(n.size)),
            Kind::Map(entries) => entries.iter().fold(0, |sum, e| sum.saturating_add(1 + e.value.size)),
            Kind::Scalar(..) => 0,
        };
        let size = children.saturating_add(1);
        if size > self.bounds.values {
            return Err(self.too_many(line));
        }
        self.put(Rc::new(Node { line, tag, size, kind }), anchor)
    }

    fn too_many(&self, line: u32) -> YamlError {
        wrong(line, format!("holds more than {} values once its aliases are written out", self.bounds.values))
    }

    fn put(&mut self, node: Rc<Node>, anchor: usize) -> Result<(), YamlError> {
        self.made += 1;
        if self.made > self.bounds.values {
            return Err(self.too_many(node.line));
        }
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        let Some(open) = self.stack.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        match &mut open.children {
            Children::List(list) => list.push(node),
            Children::Map { entries, merges, key, seen } => match key.take() {
                None => {
                    let Kind::Scalar(text, plain) = &node.kind else {
                        return Err(wrong(node.line, "a field whose name is no text"));
                    };
                    let name = if *plain && text == "<<" { "<<".to_owned() } else { text.clone() };
                    if name != "<<" {
                        if let Some(first) = seen.get(&name) {
                            return Err(wrong(
                                node.line,
                                format!("{name} is there twice, first on line {first}"),
                            ));
                        }
                        seen.insert(name.clone(), node.line);
                    }
                    *key = Some((name, node.line));
                }
                Some((name, _)) if name == "<<" => merges.push(node),
                Some((name, line)) => entries.push(Entry { name, line, value: node }),
            },
        }
        Ok(())
    }
}
