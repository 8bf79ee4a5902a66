//! Asks instances for their load before a prompt is placed.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use policy::placement::LoadReport;
use types::{InstanceId, UpstreamName};

use crate::app::App;

/// Time for the answer of an instance. A reachable one answers within
/// milliseconds, and the prompt waits for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(60);

/// Interface for the load reports of instances. The platform adapter implements
/// it.
pub trait LoadReportCodec: Send + Sync {
    /// Path of the report at an instance.
    fn path(&self) -> &'static str;

    /// Decodes the body of a report.
    ///
    /// # Errors
    ///
    /// A description of what is missing or malformed.
    fn decode(&self, body: &[u8]) -> Result<LoadReport, String>;
}

impl App {
    /// Asks instances for their load at the same time and passes the reports to
    /// the placer. Returns after [`REPORT_TIMEOUT`] at the latest.
    pub(crate) async fn refresh_load_reports(
        self: &Arc<Self>,
        upstream: &UpstreamName,
        instances: Vec<InstanceId>,
    ) {
        let view = self.view.load_full();
        let asked: Vec<_> = instances
            .into_iter()
            .filter_map(|instance| {
                let addr = view.addr(&instance)?.clone();
                let app = self.clone();
                let report = async move { app.load_report(&addr).await };
                Some((instance, async_global_executor::spawn(report)))
            })
            .collect();
        for (instance, report) in asked {
            let report = report.await;
            let outcome = if report.is_ok() { "answered" } else { "failed" };
            metrics::counter!("limpetgw_gateway_load_reports_total", "outcome" => outcome)
                .increment(1);
            if let Err(error) = &report {
                log::debug!("instance {instance} did not report its load: {error}");
            }
            let now = self.now();
            self.with_placer(upstream, |placer| {
                placer.on_report(now, &instance, report.ok());
            });
        }
    }

    async fn load_report(&self, addr: &Arc<str>) -> Result<LoadReport, String> {
        let answered = async {
            let body = self.pool.get(addr, self.load_reports.path()).await;
            self.load_reports
                .decode(&body.map_err(|error| error.to_string())?)
        };
        let timed_out = async {
            smol::Timer::after(REPORT_TIMEOUT).await;
            Err(format!(
                "no answer within {} ms",
                REPORT_TIMEOUT.as_millis()
            ))
        };
        answered.or(timed_out).await
    }
}
