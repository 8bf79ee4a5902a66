//! Configuration and membership on separate processes while the platform
//! fails, operators race and instances leave.

mod config;
mod membership;
mod operating;
