//! Section `log`: format and level of the log.

use super::setting::{choices, records};

records! {
    /// Log events, written to standard error.
    LogRecord {
        /// Format of log events.
        format: LogFormat = LogFormat::Text,
        /// Lowest severity that is written.
        level: LogLevel = LogLevel::Info,
    }
}

choices! {
    /// Format of log events.
    LogFormat {
        /// Human-readable text.
        Text = "text",
        /// One JSON object per line.
        Json = "json",
    }

    /// Severity of a log event.
    LogLevel {
        /// Failures that keep the program from working.
        Error = "error",
        /// Conditions that need an operator's attention.
        Warn = "warn",
        /// Changes of state.
        Info = "info",
        /// Details for finding the cause of a problem.
        Debug = "debug",
        /// All events.
        Trace = "trace",
    }
}
