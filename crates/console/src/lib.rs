//! Operator commands: submitting, showing and comparing configurations, showing
//! the state of all processes, and draining instances.

mod answers;
mod config_command;
mod difference;
mod fleet;
mod forms;
mod keys;
mod operator;
mod terminal;

pub use answers::{run_form_session, AnswerSource, FileAnswers, SourceError};
pub use config_command::{
    diff, history, read_document, show, show_from, start_session, submit, submit_text, wait,
    HistoryLine, SubmitArgs, SubmitReport, WaitReport,
};
pub use difference::{difference, Change};
pub use fleet::{drain, generation_floor, status, status_text, FleetStatus, InstanceReport};
pub use forms::{FormSession, Question, QuestionKind, RejectedAnswer, Step};
pub use keys::NewKey;
pub use operator::{OperatorClient, OperatorError};
pub use terminal::TerminalAnswers;
