//! `sailmux inventory explain`: prints each variable of a host with the locations that set it.

use super::super::failure::Failure;
use super::super::print;
use super::source::Source;
use crate::endpoints::SourceLocation;
use crate::inventory::{self, Bundle, ExplainedVariable};

#[derive(clap::Args)]
pub(in crate::cli) struct Explain {
    #[command(flatten)]
    source: Source,
    /// The host's name
    host: String,
}

impl Explain {
    pub(super) fn run(self) -> Result<(), Failure> {
        let Explain { source, host } = self;
        let options = source.options(&source.path)?;
        let bundle = Source::bundle(&source.path, &options)?;
        let hosts = inventory::hosts(&bundle, &options).map_err(Failure::diagnostics)?;
        if hosts.location(&host).is_none() {
            let path = source.path.display();
            return Err(Failure::message(format!("{path}: there is no host {host}")));
        }
        let mut text = format!("{host}, in {}\n", hosts.groups_of(&host).join(" < "));
        for explained in hosts.explain(&host) {
            text.push_str(&explanation(&explained, &bundle));
        }
        print(&text)
    }
}

/// The effective value of a variable, followed by the values that it overrides.
fn explanation(explained: &ExplainedVariable, bundle: &Bundle) -> String {
    let Some((effective, overridden)) = explained.values.split_first() else {
        return String::new();
    };
    let suffix = if overridden.is_empty() { ", set nowhere else" } else { ", overrides:" };
    let mut text = format!("{} = {}\n", explained.variable, effective.text);
    text.push_str(&format!(
        "    {} ({}){suffix}\n",
        location_text(bundle, effective.location),
        effective.layer
    ));
    for value in overridden {
        let location = location_text(bundle, value.location);
        text.push_str(&format!("    {location} ({}): {}\n", value.layer, value.text));
    }
    text
}

/// A location as `file:line`.
fn location_text(bundle: &Bundle, location: SourceLocation) -> String {
    let file = bundle.files.get(usize::from(location.file)).map_or("", |file| &*file.name);
    format!("{file}:{}", location.line)
}
