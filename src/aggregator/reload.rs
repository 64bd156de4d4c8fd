//! Reloading of settings in a running process.

use super::Limits;
use super::reduce::Reduction;
use crate::config::PlatformSettings;
use crate::endpoints::Input;

impl Reduction<'_> {
    /// Applies new settings. They are used for new queries; queries in flight continue under the old ones.
    pub(super) fn reload_settings(&mut self, settings: PlatformSettings, limits: Limits) {
        let old = &self.state.settings;
        let old_index = |name: &String| old.classes.iter().position(|class| class == name);
        let old_class_indices: Vec<Option<usize>> = settings.classes.iter().map(old_index).collect();
        let zones_changed = settings.zones != old.zones;
        let reconfigured = self.state.balancer.reconfigure(settings.balancer.clone(), &old_class_indices);
        // Not expected: the settings are validated when the configuration is loaded.
        if reconfigured.is_err() {
            self.state.counters.reloads_rejected += 1;
            return;
        }
        self.state.counters.reloads += 1;
        let layout = settings.layout();
        self.state.settings = settings;
        self.state.undivided_limits = limits;
        self.divide_limits();
        self.update_endpoints(Input::Layout(layout));
        if zones_changed {
            // The balancer identifies zones by their index in the settings.
            self.update_endpoints(Input::SendCompleteList);
        }
    }
}
