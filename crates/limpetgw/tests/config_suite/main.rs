//! Configuration and membership on separate processes while the platform
//! fails, operators race and instances leave.

mod config;
mod console;
mod membership;
mod operating;
