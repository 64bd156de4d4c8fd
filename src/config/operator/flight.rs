//! Section `flight`: the Arrow Flight front.

use super::setting::{Address, records};

records! {
    /// Arrow Flight for gateways; off unless it has an address.
    FlightRecord {
        /// Address and port where gateways connect, as `127.0.0.1:8815`.
        listen: Option<Address> = None,
    }
}
