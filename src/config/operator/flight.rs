//! Section `flight`: the Arrow Flight listener.

use super::setting::{Address, records};

records! {
    /// Arrow Flight listener for gateways; off unless `listen` is set.
    FlightRecord {
        /// IP address and port on which gateways connect, such as `127.0.0.1:8815`.
        listen: Option<Address> = None,
    }
}
