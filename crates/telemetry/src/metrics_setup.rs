//! Metrics recorder of the process, rendered in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the global metrics recorder; later calls have no effect.
pub fn init_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if another recorder is already installed; that one stays
        // active and this handle renders nothing.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Folds the recorded values of histograms into their summaries. Until then each
/// value takes memory, so that a process must call this even if nobody reads its
/// metrics.
pub fn compact_metrics() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}

/// Renders the current metrics; returns an empty string before
/// [`init_metrics`].
pub fn render_metrics() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
