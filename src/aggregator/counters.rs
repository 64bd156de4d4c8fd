//! Counters of queries, attempts, connections, endpoint lists and the ledger, for `/metrics`.

/// Declares [`Counters`]: each field with its metric name on `/metrics` and its help text.
macro_rules! counters {
    ($($field:ident as $metric:literal: $help:literal,)*) => {
        /// Counts since the start of the process. The metric names on `/metrics` are stable and may differ from the
        /// field names.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $(#[doc = $help] pub $field: u64,)*
        }

        impl Counters {
            /// All counters in the Prometheus text format.
            pub fn text(&self) -> String {
                let mut text = String::new();
                $(text += &format!(
                    concat!("# HELP sailmux_", $metric, " ", $help, "\n",
                            "# TYPE sailmux_", $metric, " counter\n",
                            "sailmux_", $metric, " {}\n"),
                    self.$field
                );)*
                text
            }
        }
    };
}

counters! {
    clients_opened as "clients_opened": "Client connections opened.",
    clients_closed as "clients_closed": "Client connections ended.",
    idle_clients_closed as "clients_shed": "Idle client connections closed to free capacity for others.",
    gateways_opened as "gateways_opened": "Flight connections of gateways opened.",
    gateways_closed as "gateways_closed": "Flight connections of gateways ended.",
    queries_received as "queries_taken": "Valid queries received.",
    parts_received as "parts_taken": "Parts of those queries.",
    queries_malformed as "queries_malformed": "Requests that no query could be read from.",
    answers_complete as "answers_whole": "Queries with a complete answer.",
    answers_partial as "answers_partial": "Queries with a partial answer.",
    queries_rejected as "queries_refused": "Queries rejected.",
    queries_failed as "queries_failed": "Queries failed.",
    queries_expired as "queries_expired": "Queries whose deadline passed.",
    clients_disconnected as "clients_gone": "Queries whose client disconnected before the answer.",
    attempts_sent as "attempts_sent": "Attempts written completely to a leaf server.",
    attempts_to_warming_servers as "attempts_cold": "Attempts for leaf servers that were warming up.",
    attempts_served as "attempts_good": "Attempts served.",
    attempts_failed as "attempts_bad": "Attempts that ended in an error.",
    attempts_rejected as "attempts_rejected": "Attempts that a leaf server rejected.",
    attempts_timed_out as "attempts_timed_out": "Attempts without an answer in time.",
    attempts_connect_failed as "attempts_not_connected": "Attempts that found no connection.",
    attempts_reset as "attempts_reset": "Attempts whose connection broke.",
    attempts_cancelled as "attempts_cancelled": "Attempts cancelled.",
    attempts_not_sent as "attempts_not_sent": "Attempts that were over before they were sent.",
    late_answers_ignored as "answers_ignored": "Answers of leaf servers to attempts no longer in flight.",
    discovery_polls as "list_calls": "Polls of discovery for the endpoint list.",
    health_checks_sent as "probes_sent": "Health checks sent.",
    health_checks_passed as "probes_answered": "Health checks passed.",
    health_checks_failed as "probes_failed": "Health checks failed or without an answer.",
    load_reports_received as "reports_read": "Load reports received from leaf servers.",
    load_reports_missing as "reports_missing": "Health checks passed without a readable load report.",
    draws_among_outliers as "outlier_draws": "Draws of a replica for a part while all holders of its shard were outliers.",
    connections_started as "connections_dialled": "Connections to leaf servers begun.",
    connections_failed as "connections_failed": "Connections to leaf servers refused or not established in time.",
    connections_established as "connections_up": "Connections to leaf servers established.",
    connections_broken as "connections_broken": "Connections to leaf servers that failed or that the leaf server ended.",
    connections_protocol_errors as "connections_spoilt": "Connections to leaf servers ended over unreadable bytes.",
    connections_closed as "connections_closed": "Connections to leaf servers closed by this aggregator.",
    endpoint_lists_applied as "lists_taken": "Endpoint lists and changes applied.",
    endpoint_lists_held_back as "lists_held": "Lists of inventory files held back.",
    endpoint_lists_rejected as "lists_refused": "Inventory files rejected.",
    endpoint_lists_confirmed as "lists_confirmed": "Lists applied after they were held back.",
    leaf_servers_forgotten as "nodes_forgotten": "Leaf servers forgotten some time after their removal from the list.",
    discovery_answers_malformed as "lists_unreadable": "Answers of discovery that could not be read; the last good list stays in force.",
    discovery_watches_lost as "watches_lost": "Watches of the endpoint list that ended or timed out.",
    ledger_entries as "ledger_entries": "Queries recorded in the ledger.",
    ledger_entries_lost as "ledger_lost": "Entries that the ledger could not store; a gap is recorded.",
    ledger_write_failures as "ledger_failures": "Times that writing the ledger began to fail.",
    ledger_periods_closed as "ledger_periods_closed": "Billing periods closed.",
    ledger_exports as "ledger_exports": "Exports of the ledger finished.",
    admin_commands as "operations": "Operators' commands on the admin address.",
    admin_commands_rejected as "operations_refused": "Operators' commands rejected: unknown name or too many overrides.",
    reloads as "reloads": "Reloads of the configuration.",
    reloads_rejected as "reloads_rejected": "Reloads rejected because the configuration was invalid.",
}
