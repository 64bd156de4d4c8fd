//! Maps the protocol's names to the consecutive numbers that the balancer uses as ids.

use std::collections::HashMap;

/// NameInterner with their numbers, assigned from 0 in order of first use.
#[derive(Default)]
pub struct NameInterner {
    numbers: HashMap<String, u64>,
    names: Vec<String>,
}

impl NameInterner {
    /// Returns the number of a name; a new name gets the next free number.
    pub fn intern(&mut self, name: &str) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u64;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Returns the number of a name, or `None` if it has never been interned.
    pub fn lookup(&self, name: &str) -> Option<u64> {
        self.numbers.get(name).copied()
    }

    /// Returns the name of a number assigned by [`NameInterner::intern`]; panics on any other number.
    pub fn name(&self, number: u64) -> &str {
        &self.names[number as usize]
    }
}
