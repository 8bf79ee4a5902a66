//! The process's metrics, rendered in Prometheus text form.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder; later calls do nothing.
pub fn init_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Only fails when the process has another recorder, which keeps its
        // place; this handle then renders nothing.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// The metrics now; empty before [`init_metrics`].
pub fn render_metrics() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
