//! Answers entered on a terminal.

use inquire::{InquireError, Select, Text};

use crate::{
    answers::{AnswerSource, SourceError},
    forms::{Question, QuestionKind, RejectedAnswer},
    NewKey,
};

/// Asks the questions of a form session on the terminal.
#[derive(Clone, Copy, Debug, Default)]
pub struct TerminalAnswers;

impl AnswerSource for TerminalAnswers {
    fn answer(
        &mut self,
        question: &Question,
        rejected: Option<&RejectedAnswer>,
    ) -> Result<String, SourceError> {
        if let Some(rejected) = rejected {
            println!("invalid answer; expected: {}", rejected.rule);
        }
        if let Some(note) = &question.note {
            println!("{note}");
        }
        let answer = match &question.kind {
            QuestionKind::Choice { options } => {
                Select::new(&question.prompt, options.clone()).prompt()
            }
            QuestionKind::Text { default } => ask_text(question, default.as_deref()),
        };
        answer.map_err(|error| SourceError::Interrupted(error.to_string()))
    }

    fn show_key(&mut self, key: &NewKey) {
        println!("{}", key.to_text());
    }
}

fn ask_text(question: &Question, default: Option<&str>) -> Result<String, InquireError> {
    let text = Text::new(&question.prompt).with_help_message(&question.id);
    match default {
        Some(default) if !default.is_empty() => text.with_default(default).prompt(),
        _ => text.prompt(),
    }
}
