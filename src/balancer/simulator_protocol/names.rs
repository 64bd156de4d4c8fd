//! Names of the protocol, numbered in the order in which they come.

use std::collections::HashMap;

/// Names and their numbers, from 0.
#[derive(Default)]
pub struct Names {
    numbers: HashMap<String, u64>,
    names: Vec<String>,
}

impl Names {
    /// The number of a name; a new name gets the next one.
    pub fn intern(&mut self, name: &str) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u64;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The number of a name that has come before.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.numbers.get(name).copied()
    }

    /// The name of a number that [`Names::intern`] has given.
    pub fn name(&self, number: u64) -> &str {
        &self.names[number as usize]
    }
}
