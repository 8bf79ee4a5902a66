//! Where the answers of a form session come from.

use std::collections::VecDeque;

use serde::Deserialize;
use serde_json::Value;

use crate::forms::{FormSession, Question, RejectedAnswer, Step};
use crate::NewKey;

/// Answers questions, and shows what is to be shown.
pub trait AnswerSource {
    /// Answers a question. `rejected` is the rule that the last answer to the
    /// same question broke.
    ///
    /// # Errors
    ///
    /// [`SourceError`] when there will be no answer.
    fn answer(
        &mut self,
        question: &Question,
        rejected: Option<&RejectedAnswer>,
    ) -> Result<String, SourceError>;

    /// Shows a new key, the only time that it is shown.
    fn show_key(&mut self, key: &NewKey);
}

/// A source has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The file's next answer is for another question.
    #[error("answer {number} is for `{found}`, but `{asked}` is asked")]
    QuestionMismatch {
        /// Number of the answer, from 1.
        number: usize,
        /// What it is for.
        found: String,
        /// What is asked.
        asked: String,
    },
    /// The file has no more answers.
    #[error("the answers end before `{asked}`")]
    Exhausted {
        /// What is asked.
        asked: String,
    },
    /// The file has more answers than questions were asked.
    #[error("{count} answers are left after the end of the session")]
    UnusedAnswers {
        /// Number of answers left.
        count: usize,
    },
    /// An answer in the file breaks a rule.
    #[error("answer {number}: {rejected}")]
    Rejected {
        /// Number of the answer, from 1.
        number: usize,
        /// The rule.
        rejected: RejectedAnswer,
    },
    /// The file can't be read.
    #[error("the answers are not readable: {0}")]
    Unreadable(String),
    /// The terminal is gone, or the operator interrupted the session.
    #[error("the session was interrupted: {0}")]
    Interrupted(String),
}

/// Answers from a file: a list of `{"question": .., "answer": ..}` in the
/// order of the questions. An answer is a text, a number, true, false or a
/// list of texts.
#[derive(Clone, Debug)]
pub struct FileAnswers {
    answers: VecDeque<FileAnswer>,
    taken: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileAnswer {
    question: String,
    answer: Value,
}

impl FileAnswers {
    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// [`SourceError::Unreadable`] when it is no list of answers.
    pub fn parse(text: &str) -> Result<Self, SourceError> {
        let answers = serde_json::from_str(text)
            .map_err(|error| SourceError::Unreadable(error.to_string()))?;
        Ok(Self { answers, taken: 0 })
    }

    /// Checks that every answer was used.
    ///
    /// # Errors
    ///
    /// [`SourceError::UnusedAnswers`] when some are left.
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
        let number = self.taken;
        if let Some(rejected) = rejected {
            let rejected = rejected.clone();
            return Err(SourceError::Rejected { number, rejected });
        }
        let asked = question.id.clone();
        let Some(next) = self.answers.pop_front() else {
            return Err(SourceError::Exhausted { asked });
        };
        self.taken += 1;
        if next.question != asked {
            return Err(SourceError::QuestionMismatch {
                number: self.taken,
                found: next.question,
                asked,
            });
        }
        Ok(answer_text(&next.answer))
    }

    fn show_key(&mut self, key: &NewKey) {
        println!("{}", key.to_json());
    }
}

fn answer_text(answer: &Value) -> String {
    match answer {
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(answer_text).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}

/// Leads a session to its end; the document, or `None` if it was given up.
///
/// # Errors
///
/// [`SourceError`] when the source has no answer.
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
