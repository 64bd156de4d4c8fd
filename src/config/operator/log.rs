//! Section `log`: form and level of the log.

use super::setting::{choices, records};

records! {
    /// What the program writes to its standard error.
    LogRecord {
        /// Text for readers, or a JSON object a line.
        format: LogFormat = LogFormat::Text,
        /// The least severity that is written.
        level: LogLevel = LogLevel::Info,
    }
}

choices! {
    /// The log's form.
    LogFormat {
        /// For readers.
        Text = "text",
        /// An object a line.
        Json = "json",
    }

    /// A severity.
    LogLevel {
        /// What keeps the program from its work.
        Error = "error",
        /// What operators should look at.
        Warn = "warn",
        /// Changes of state.
        Info = "info",
        /// What helps to find a cause.
        Debug = "debug",
        /// All there is.
        Trace = "trace",
    }
}
