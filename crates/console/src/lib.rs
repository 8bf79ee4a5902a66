//! What operators do: submit, show and compare configurations, look at the
//! fleet, and drain instances.

mod config_command;
mod difference;
mod fleet;
mod keys;
mod operator;

pub use config_command::{
    begin_session, diff, history, read_document, show, submit, submit_text, wait, HistoryLine,
    SubmitArgs, SubmitReport, WaitReport,
};
pub use difference::{difference, Change};
pub use fleet::{drain, generation_floor, status, status_text, FleetStatus, InstanceReport};
pub use keys::NewKey;
pub use operator::{Operator, OperatorError};
