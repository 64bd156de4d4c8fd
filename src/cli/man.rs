//! `sailmux man`: the man page of all commands, in roff.

use super::failure::Failure;
use super::print as print_text;
use clap::Command;
use clap_mangen::Man;

/// Prints the man page of a command and of all its subcommands.
pub(super) fn print(command: Command) -> Result<(), Failure> {
    let mut page = Vec::new();
    Man::new(command.clone()).render(&mut page)?;
    // A stack: the last element is rendered next, so that subcommands follow their command in the order of the help.
    let mut unrendered: Vec<Command> = command.get_subcommands().cloned().collect();
    unrendered.reverse();
    while let Some(command) = unrendered.pop() {
        let name = command.get_name().to_owned();
        for subcommand in command.get_subcommands() {
            let full_name = format!("{name} {}", subcommand.get_name());
            unrendered.push(subcommand.clone().name(full_name));
        }
        Man::new(command).render(&mut page)?;
    }
    print_text(&String::from_utf8_lossy(&page))
}
