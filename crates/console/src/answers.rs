//! Sources of the answers of a form session.

use std::collections::VecDeque;

use serde::Deserialize;
use serde_json::Value;

use crate::forms::{FormSession, Question, RejectedAnswer, Step};
use crate::NewKey;

/// Provides the answers of a form session and displays generated keys.
pub trait AnswerSource {
    /// Returns the answer to a question. `rejected` is the last answer to the
    /// same question, if it was invalid, with the violated rule.
    ///
    /// # Errors
    ///
    /// [`SourceError`] if the source cannot provide an answer.
    fn answer(
        &mut self,
        question: &Question,
        rejected: Option<&RejectedAnswer>,
    ) -> Result<String, SourceError>;

    /// Displays a new key. It is not displayed again.
    fn show_key(&mut self, key: &NewKey);
}

/// An error of an answer source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The next answer in the file is for another question.
    #[error("answer {number} is for question `{found}`, but the session asked `{asked}`")]
    QuestionMismatch {
        /// Number of the answer, from 1.
        number: usize,
        /// Id of the question in the file.
        found: String,
        /// Id of the question that the session asked.
        asked: String,
    },
    /// The session asked a question after the last answer of the file.
    #[error("the file has no answer to question `{asked}`")]
    Exhausted {
        /// Id of the question that the session asked.
        asked: String,
    },
    /// The session ended before all answers of the file were used.
    #[error("{count} answers are left after the end of the session")]
    UnusedAnswers {
        /// Number of unused answers.
        count: usize,
    },
    /// An answer in the file is invalid.
    #[error("answer {number}: {rejected}")]
    Rejected {
        /// Number of the answer, from 1.
        number: usize,
        /// The invalid answer and the violated rule.
        rejected: RejectedAnswer,
    },
    /// The file is not a JSON list of answers.
    #[error("cannot parse the answers file: {0}")]
    Unreadable(String),
    /// The terminal was closed or the operator interrupted the session.
    #[error("the session was interrupted: {0}")]
    Interrupted(String),
}

/// Answers from a file with a JSON list of `{"question": .., "answer": ..}` in
/// the order of the questions. An answer is a string, a number, a boolean or a
/// list of strings.
#[derive(Clone, Debug)]
pub struct FileAnswers {
    answers: VecDeque<FileAnswer>,
    used_count: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileAnswer {
    question: String,
    answer: Value,
}

impl FileAnswers {
    /// Parses the text of an answers file.
    ///
    /// # Errors
    ///
    /// [`SourceError::Unreadable`] if the text is not a JSON list of answers.
    pub fn parse(text: &str) -> Result<Self, SourceError> {
        let answers = serde_json::from_str(text)
            .map_err(|error| SourceError::Unreadable(error.to_string()))?;
        Ok(Self {
            answers,
            used_count: 0,
        })
    }

    /// Checks that every answer was used.
    ///
    /// # Errors
    ///
    /// [`SourceError::UnusedAnswers`] if the file has more answers.
    pub fn finish(&self) -> Result<(), SourceError> {
        match self.answers.len() {
            0 => Ok(()),
            count => Err(SourceError::UnusedAnswers { count }),
        }
    }
}

impl AnswerSource for FileAnswers {
    fn answer(
        &mut self,
        question: &Question,
        rejected: Option<&RejectedAnswer>,
    ) -> Result<String, SourceError> {
        let number = self.used_count;
        if let Some(rejected) = rejected {
            let rejected = rejected.clone();
            return Err(SourceError::Rejected { number, rejected });
        }
        let asked = question.id.clone();
        let Some(next) = self.answers.pop_front() else {
            return Err(SourceError::Exhausted { asked });
        };
        self.used_count += 1;
        if next.question != asked {
            return Err(SourceError::QuestionMismatch {
                number: self.used_count,
                found: next.question,
                asked,
            });
        }
        Ok(format_answer(&next.answer))
    }

    fn show_key(&mut self, key: &NewKey) {
        println!("{}", key.to_json());
    }
}

fn format_answer(answer: &Value) -> String {
    match answer {
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(format_answer).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}

/// Runs a session to its end. Returns the document, or `None` if the session
/// was aborted.
///
/// # Errors
///
/// [`SourceError`] if the source cannot provide an answer.
pub fn run_form_session(
    session: &mut FormSession,
    source: &mut dyn AnswerSource,
    mut new_key: impl FnMut(types::TeamName) -> NewKey,
) -> Result<Option<config::Document>, SourceError> {
    let mut rejected: Option<RejectedAnswer> = None;
    loop {
        match session.step() {
            Step::Ask(question) => {
                let answer = source.answer(&question, rejected.as_ref())?;
                rejected = session.answer(&answer).err();
            }
            Step::CreateKey { team } => {
                let key = new_key(team);
                session.add_key(&key.digest());
                source.show_key(&key);
            }
            Step::Finished(document) => return Ok(Some(*document)),
            Step::Aborted => return Ok(None),
        }
    }
}
