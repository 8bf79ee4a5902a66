//! What a form session asks.

use serde::{Deserialize, Serialize};

/// How a question is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuestionKind {
    /// By a text; an empty one takes the default.
    Text {
        /// What an empty answer means.
        default: Option<String>,
    },
    /// By one of these.
    Choice {
        /// What may be answered.
        options: Vec<String>,
    },
}

/// One question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Stable id, by which an answers file tells what it answers: `menu`,
    /// `class`, or a path such as `classes.urgent.priority`.
    pub id: String,
    /// What is asked.
    pub prompt: String,
    /// How it is answered.
    pub kind: QuestionKind,
    /// Text to show first, such as the difference to what is in force.
    pub note: Option<String>,
}

/// An answer that breaks a rule; the question stands.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{question}: `{answer}`: {rule}")]
pub struct RejectedAnswer {
    /// Id of the question.
    pub question: String,
    /// What was answered.
    pub answer: String,
    /// What is allowed.
    pub rule: String,
}
