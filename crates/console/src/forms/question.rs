//! Questions of a form session and errors of their answers.

use serde::{Deserialize, Serialize};

/// Type of the answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuestionKind {
    /// A string; an empty one stands for the default.
    Text {
        /// Value that an empty answer stands for.
        default: Option<String>,
    },
    /// One of several options.
    Choice {
        /// Allowed answers.
        options: Vec<String>,
    },
}

/// A question to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Stable id, by which an answers file refers to the question: `menu`, `class`
    /// or a path such as `classes.urgent.priority`.
    pub id: String,
    /// Text of the question.
    pub prompt: String,
    /// Type of the answer, with its default or options.
    pub kind: QuestionKind,
    /// Text to display before the question, such as the changes so far.
    pub note: Option<String>,
}

/// An invalid answer; the session asks the same question again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{question}: `{answer}`: {rule}")]
pub struct RejectedAnswer {
    /// Id of the question.
    pub question: String,
    /// The invalid answer.
    pub answer: String,
    /// Description of the allowed answers.
    pub rule: String,
}
