//! Starts the link between gateways.

use std::{sync::Arc, time::Duration};

use peer_link::{Key, UdpLink};
use telemetry::{emit, events::GatewayEvent};

use super::PeerDirectory;
use crate::app::App;

/// First delay before a failed read of the key is repeated.
const KEY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before a failed read of the key is repeated.
const KEY_RETRY_DELAY_MAX: Duration = Duration::from_secs(10);

/// Starts the link in the background if it is enabled.
pub(crate) fn start_link(app: &Arc<App>) {
    let Some(link) = &app.udp_link else {
        return;
    };
    let directory = app.peer_directory.clone();
    async_global_executor::spawn(fetch_key(link.clone(), directory)).detach();
    async_global_executor::spawn(link.clone().receive()).detach();
    async_global_executor::spawn(link.clone().maintain()).detach();
}

/// Reads the key, or creates it, and gives it to the link.
async fn fetch_key(link: Arc<UdpLink>, directory: Arc<dyn PeerDirectory>) {
    let mut delay = KEY_RETRY_DELAY;
    let candidate: Key = rand::random();
    loop {
        match directory.link_key(candidate).await {
            Ok(key) => {
                link.set_key(key);
                let endpoint = link.endpoint();
                return emit(&GatewayEvent::PeerLinkStarted {
                    addr: endpoint.addr.to_string(),
                    run: endpoint.run,
                });
            }
            Err(error) => {
                emit(&GatewayEvent::PeerLinkWithoutKey {
                    reason: error.to_string(),
                });
                let jitter = 0.5 + rand::random::<f64>();
                smol::Timer::after(delay.mul_f64(jitter)).await;
                delay = (delay * 2).min(KEY_RETRY_DELAY_MAX);
            }
        }
    }
}
