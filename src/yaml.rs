//! YAML as a tree of values with their line numbers, for use in diagnostics.
//!
//! Used for the operator file and for inventories. Aliases share the node that they refer to, so the memory of a tree is
//! proportional to its text. A tree that would be huge with its aliases expanded, such as an alias bomb, is rejected
//! without being expanded.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use yaml_rust2::parser::{Event, Parser, Tag};
use yaml_rust2::scanner::TScalarStyle;

/// The key under which YAML 1.1 merges other maps into a map.
const MERGE_KEY: &str = "<<";

/// Limits on the size of a document.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum depth of nested lists and maps.
    pub depth: usize,
    /// Maximum number of values, with aliases expanded.
    pub values: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { depth: 64, values: 2_000_000 }
    }
}

/// The reason why a document is rejected, with its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct YamlError {
    /// The line, counted from 1.
    pub line: u32,
    /// The problem, without the line.
    pub message: String,
}

impl YamlError {
    fn at(line: u32, message: impl Into<String>) -> Self {
        YamlError { line, message: message.into() }
    }
}

impl fmt::Display for YamlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for YamlError {}

/// A value with its line and tag.
#[derive(Clone, Debug)]
pub struct Node {
    /// The line, counted from 1.
    pub line: u32,
    /// The suffix of its tag, such as `vault`; empty if it has none.
    pub tag: String,
    /// Number of values in it, including itself, with aliases expanded.
    pub size: u64,
    /// The value itself.
    pub kind: Kind,
}

/// The content of a value: a scalar, a list or a map.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A single value.
    Scalar {
        /// Its text, unquoted and unescaped.
        text: String,
        /// Whether it is unquoted, so that it may be a number, a boolean or null.
        is_plain: bool,
    },
    /// A list.
    List(Vec<Rc<Node>>),
    /// A map, in document order, with merge keys resolved; each name occurs once.
    Map(Vec<Entry>),
}

/// An entry of a map.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The key.
    pub name: String,
    /// The line of the key, counted from 1.
    pub line: u32,
    /// The value; it may be shared with other entries through aliases.
    pub value: Rc<Node>,
}

impl Node {
    fn plain_null(line: u32) -> Self {
        Node { line, tag: String::new(), size: 1, kind: Kind::Scalar { text: String::new(), is_plain: true } }
    }

    /// Whether it is null: omitted, `~` or `null`.
    pub fn is_null(&self) -> bool {
        let Kind::Scalar { text, is_plain: true } = &self.kind else { return false };
        matches!(text.as_str(), "" | "~" | "null" | "Null" | "NULL")
    }

    /// The text of a scalar; `None` for null, lists and maps.
    pub fn as_str(&self) -> Option<&str> {
        match &self.kind {
            Kind::Scalar { text, .. } if !self.is_null() => Some(text),
            _ => None,
        }
    }

    /// The entries of a map; `None` for other values.
    pub fn map(&self) -> Option<&[Entry]> {
        match &self.kind {
            Kind::Map(entries) => Some(entries),
            _ => None,
        }
    }

    /// The entries of a list; `None` for other values.
    pub fn list(&self) -> Option<&[Rc<Node>]> {
        match &self.kind {
            Kind::List(entries) => Some(entries),
            _ => None,
        }
    }

    /// The value with this name in a map.
    pub fn get(&self, name: &str) -> Option<&Rc<Node>> {
        let entry = self.map()?.iter().find(|entry| entry.name == name)?;
        Some(&entry.value)
    }

    /// A boolean, including the keywords of YAML 1.1 that configuration tools use (`yes`, `no`, `on`, `off`).
    pub fn as_bool(&self) -> Option<bool> {
        let Kind::Scalar { text, is_plain: true } = &self.kind else { return None };
        match text.to_ascii_lowercase().as_str() {
            "true" | "yes" | "on" => Some(true),
            "false" | "no" | "off" => Some(false),
            _ => None,
        }
    }

    /// The kind of value, for error messages.
    pub fn kind_name(&self) -> &'static str {
        match &self.kind {
            Kind::Scalar { .. } if self.is_null() => "null",
            Kind::Scalar { .. } => "a single value",
            Kind::List(_) => "a list",
            Kind::Map(_) => "a map",
        }
    }
}

/// Parses a text with at most one document; a text without a document is null.
///
/// # Errors
/// The text is not YAML, has more than one document, or exceeds the bounds.
pub fn parse(text: &str, bounds: &Bounds) -> Result<Rc<Node>, YamlError> {
    let mut builder = TreeBuilder::new(bounds);
    let mut parser = Parser::new_from_str(text);
    loop {
        let (event, mark) = parser.next_token().map_err(|error| {
            YamlError::at(line_of(error.marker().line()), format!("is not YAML: {}", error.info()))
        })?;
        let line = line_of(mark.line());
        match event {
            Event::StreamEnd => break,
            Event::DocumentStart if builder.root.is_some() => {
                return Err(YamlError::at(line, "a second document"));
            }
            event => builder.handle(event, line)?,
        }
    }
    Ok(builder.root.unwrap_or_else(|| Rc::new(Node::plain_null(1))))
}

fn line_of(parser_line: usize) -> u32 {
    parser_line.max(1) as u32
}

/// An anchor's number in the parser; 0 if there is no anchor.
type AnchorId = usize;

/// A list or a map whose end has not been parsed yet.
struct OpenCollection {
    line: u32,
    anchor: AnchorId,
    tag: String,
    children: Children,
}

enum Children {
    List(Vec<Rc<Node>>),
    Map(OpenMap),
}

#[derive(Default)]
struct OpenMap {
    entries: Vec<Entry>,
    /// Values of merge keys, in order.
    merges: Vec<Rc<Node>>,
    /// The key whose value is parsed next.
    key: Option<Key>,
    /// The line of each name.
    lines_by_name: HashMap<String, u32>,
}

struct Key {
    name: String,
    line: u32,
}

/// Builds the tree from the parser's events.
struct TreeBuilder<'a> {
    bounds: &'a Bounds,
    open: Vec<OpenCollection>,
    anchors: HashMap<AnchorId, Rc<Node>>,
    root: Option<Rc<Node>>,
    /// Number of values created so far, including merged entries; limits the memory used.
    created_values: u64,
}

impl<'a> TreeBuilder<'a> {
    fn new(bounds: &'a Bounds) -> Self {
        TreeBuilder { bounds, open: Vec::new(), anchors: HashMap::new(), root: None, created_values: 0 }
    }

    fn handle(&mut self, event: Event, line: u32) -> Result<(), YamlError> {
        match event {
            Event::Scalar(text, style, anchor, tag) => {
                let tag = tag_suffix(tag);
                let is_plain = style == TScalarStyle::Plain && tag != "str";
                let node = Node { line, tag, size: 1, kind: Kind::Scalar { text, is_plain } };
                self.add(Rc::new(node), anchor)
            }
            Event::SequenceStart(anchor, tag) => {
                let children = Children::List(Vec::new());
                self.open(OpenCollection { line, anchor, tag: tag_suffix(tag), children })
            }
            Event::MappingStart(anchor, tag) => {
                let children = Children::Map(OpenMap::default());
                self.open(OpenCollection { line, anchor, tag: tag_suffix(tag), children })
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(anchor) => match self.anchors.get(&anchor).cloned() {
                Some(node) => self.add(node, 0),
                None => Err(YamlError::at(line, "an alias refers to a collection that contains it")),
            },
            _ => Ok(()),
        }
    }

    fn open(&mut self, collection: OpenCollection) -> Result<(), YamlError> {
        let line = collection.line;
        if self.open.len() >= self.bounds.depth {
            return Err(YamlError::at(line, format!("is nested deeper than {} levels", self.bounds.depth)));
        }
        if let Some(OpenCollection { children: Children::Map(OpenMap { key: None, .. }), .. }) =
            self.open.last()
        {
            return Err(YamlError::at(line, "a key is not a scalar"));
        }
        self.open.push(collection);
        Ok(())
    }

    fn close(&mut self) -> Result<(), YamlError> {
        let Some(OpenCollection { line, anchor, tag, children }) = self.open.pop() else { return Ok(()) };
        let kind = match children {
            Children::List(entries) => Kind::List(entries),
            Children::Map(map) => Kind::Map(self.merge(map, line)?),
        };
        let size = expanded_size(&kind);
        if size > self.bounds.values {
            return Err(self.too_many_values(line));
        }
        self.add(Rc::new(Node { line, tag, size, kind }), anchor)
    }

    /// Resolves the merge keys of a map: its own entries take precedence over merged ones, and an earlier merge over a
    /// later one.
    fn merge(&mut self, map: OpenMap, line: u32) -> Result<Vec<Entry>, YamlError> {
        let OpenMap { mut entries, merges, mut lines_by_name, .. } = map;
        for merge in merges {
            let sources = match &merge.kind {
                Kind::List(list) => list.as_slice(),
                _ => std::slice::from_ref(&merge),
            };
            for source in sources {
                let Some(merged) = source.map() else {
                    return Err(YamlError::at(source.line, "a merged value is not a map"));
                };
                for entry in merged {
                    let earlier = lines_by_name.insert(entry.name.clone(), entry.line);
                    if earlier.is_none() {
                        entries.push(entry.clone());
                        self.created_values += 1;
                    }
                }
                if self.created_values > self.bounds.values {
                    return Err(self.too_many_values(line));
                }
            }
        }
        Ok(entries)
    }

    /// Adds a complete node to the innermost open collection, or makes it the root.
    fn add(&mut self, node: Rc<Node>, anchor: AnchorId) -> Result<(), YamlError> {
        self.created_values += 1;
        if self.created_values > self.bounds.values {
            return Err(self.too_many_values(node.line));
        }
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        let Some(parent) = self.open.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        match &mut parent.children {
            Children::List(list) => list.push(node),
            Children::Map(map) => map.add(node)?,
        }
        Ok(())
    }

    fn too_many_values(&self, line: u32) -> YamlError {
        let bound = self.bounds.values;
        YamlError::at(line, format!("contains more than {bound} values with aliases expanded"))
    }
}

impl OpenMap {
    /// Adds a node as a key or, after a key, as its value.
    fn add(&mut self, node: Rc<Node>) -> Result<(), YamlError> {
        match self.key.take() {
            None => self.add_key(&node),
            Some(key) if key.name == MERGE_KEY => {
                self.merges.push(node);
                Ok(())
            }
            Some(Key { name, line }) => {
                self.entries.push(Entry { name, line, value: node });
                Ok(())
            }
        }
    }

    fn add_key(&mut self, node: &Node) -> Result<(), YamlError> {
        let line = node.line;
        let Kind::Scalar { text: name, .. } = &node.kind else {
            return Err(YamlError::at(line, "a key is not a scalar"));
        };
        if name != MERGE_KEY
            && let Some(first) = self.lines_by_name.insert(name.clone(), line)
        {
            return Err(YamlError::at(line, format!("{name} is defined twice, first on line {first}")));
        }
        self.key = Some(Key { name: name.clone(), line });
        Ok(())
    }
}

fn tag_suffix(tag: Option<Tag>) -> String {
    tag.map(|tag| tag.suffix).unwrap_or_default()
}

/// The number of values in a node, including itself, with aliases expanded.
fn expanded_size(kind: &Kind) -> u64 {
    let mut size: u64 = 1;
    match kind {
        Kind::Scalar { .. } => {}
        Kind::List(list) => {
            for node in list {
                size = size.saturating_add(node.size);
            }
        }
        Kind::Map(entries) => {
            for entry in entries {
                size = size.saturating_add(1).saturating_add(entry.value.size);
            }
        }
    }
    size
}
