//! State machine of a form session.

use config::{Document, Issue};
use serde_json::{json, Value};
use types::TeamName;

use super::{
    fields::{fields_of, new_item, Field},
    MenuItem, Question, QuestionKind, RejectedAnswer, Section,
};
use crate::difference;

/// Number of leading digits that identify a key digest in questions.
const DIGEST_SHOWN_DIGITS: usize = 8;

/// Next step of a form session.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask a question and pass the answer to [`FormSession::answer`].
    Ask(Question),
    /// Generate a key and pass its digest to [`FormSession::add_key`].
    CreateKey {
        /// Team that the key is for.
        team: TeamName,
    },
    /// The session ended with this document.
    Finished(Box<Document>),
    /// The operator aborted the session; there is no document.
    Aborted,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Menu,
    NameItem(Section),
    SelectItemToRemove(Section),
    SelectTeamForNewKey,
    SelectTeamForKeyRemoval,
    SelectKeyToRemove(String),
    EditField {
        section: Section,
        name: String,
        field: usize,
    },
    CreateKey(String),
    Confirm,
    Finished(Box<Document>),
    Aborted,
}

/// A form session, which edits a draft of a document.
///
/// # Invariants
///
/// The draft is a valid document whenever no form is open.
#[derive(Clone, Debug)]
pub struct FormSession {
    original: Document,
    draft: Value,
    state: State,
    note: Option<String>,
}

impl FormSession {
    /// Creates a session that starts from the stored document.
    pub fn new(original: Document) -> Self {
        Self {
            // Serializing strings and numbers cannot fail.
            draft: serde_json::to_value(&original).unwrap_or_default(),
            original,
            state: State::Menu,
            note: None,
        }
    }

    /// Returns the next step.
    pub fn step(&self) -> Step {
        let question = match &self.state {
            State::Menu => choice_question("menu", "What do you want to change?", menu_options()),
            State::NameItem(section) => self.name_question(*section),
            State::SelectItemToRemove(section) => {
                let id = format!("remove.{}", section.item());
                choice_question(
                    &id,
                    "Which item do you want to remove?",
                    self.names(*section),
                )
            }
            State::SelectTeamForNewKey => choice_question(
                "key.team",
                "Team that the new key is for",
                self.names(Section::Teams),
            ),
            State::SelectTeamForKeyRemoval => choice_question(
                "key.owner",
                "Team whose key you want to remove",
                self.names(Section::Teams),
            ),
            State::SelectKeyToRemove(team) => {
                let digests = self.digests(team);
                let shown = digests
                    .iter()
                    .map(|digest| short_digest(digest).to_string());
                choice_question("key.digest", "Digest of the key to remove", shown.collect())
            }
            State::EditField {
                section,
                name,
                field,
            } => self.field_question(*section, name, *field),
            State::Confirm => {
                let options = vec!["yes".to_string(), "no".to_string()];
                choice_question("confirm", "Submit these changes?", options)
            }
            State::CreateKey(team) => {
                return Step::CreateKey {
                    team: team.as_str().into(),
                }
            }
            State::Finished(document) => return Step::Finished(document.clone()),
            State::Aborted => return Step::Aborted,
        };
        Step::Ask(Question {
            note: self.note.clone(),
            ..question
        })
    }

    /// Processes the answer to the current question.
    ///
    /// # Errors
    ///
    /// [`RejectedAnswer`] with the violated rule; [`Self::step`] then returns the
    /// same question again.
    pub fn answer(&mut self, answer: &str) -> Result<(), RejectedAnswer> {
        let answer = answer.trim();
        let Step::Ask(question) = self.step() else {
            return Ok(());
        };
        let rejected = |rule: String| RejectedAnswer {
            question: question.id.clone(),
            answer: answer.to_string(),
            rule,
        };
        if let QuestionKind::Choice { options } = &question.kind {
            if !options.iter().any(|option| option == answer) {
                return Err(rejected(format!("one of {}", options.join(", "))));
            }
        }
        let note = self.note.take();
        let result = match self.state.clone() {
            State::Menu => self.on_menu(answer),
            State::NameItem(section) => self.on_name(section, answer),
            State::SelectItemToRemove(section) => self.on_remove(section, answer),
            State::SelectTeamForNewKey => {
                self.state = State::CreateKey(answer.to_string());
                Ok(())
            }
            State::SelectTeamForKeyRemoval => self.on_key_owner(answer),
            State::SelectKeyToRemove(team) => self.on_remove_key(&team, answer),
            State::EditField {
                section,
                name,
                field,
            } => self.on_field(section, &name, field, answer),
            State::Confirm => self.on_confirm(answer),
            State::CreateKey(_) | State::Finished(_) | State::Aborted => Ok(()),
        };
        if result.is_err() {
            self.note = note;
        }
        result.map_err(rejected)
    }

    /// Adds the digest of the key that [`Step::CreateKey`] requested.
    pub fn add_key(&mut self, digest: &str) {
        let State::CreateKey(team) = self.state.clone() else {
            return;
        };
        if let Some(digests) = self.draft["teams"][&team]["key_digests"].as_array_mut() {
            digests.push(digest.into());
        }
        self.state = State::Menu;
    }

    /// Returns the changes of the draft, one per line; empty while a form is open
    /// and the draft is not valid.
    pub fn difference(&self) -> String {
        let Ok(draft) = Document::parse(&self.draft.to_string()) else {
            return String::new();
        };
        let changes = difference(&self.original, &draft);
        if changes.is_empty() {
            return "nothing has changed".to_string();
        }
        let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }

    fn on_menu(&mut self, answer: &str) -> Result<(), String> {
        // `Self::answer` has already rejected texts that are not menu items.
        match MenuItem::parse(answer) {
            Some(MenuItem::Edit(Section::Limits)) => self.edit_first_field(Section::Limits, ""),
            Some(MenuItem::Edit(section)) => {
                self.require_referenced_items(section)?;
                self.state = State::NameItem(section);
            }
            Some(MenuItem::Remove(section)) => {
                self.require_item(section)?;
                self.state = State::SelectItemToRemove(section);
            }
            Some(MenuItem::NewKey) => {
                self.require_item(Section::Teams)?;
                self.state = State::SelectTeamForNewKey;
            }
            Some(MenuItem::RemoveKey) => {
                self.require_item(Section::Teams)?;
                self.state = State::SelectTeamForKeyRemoval;
            }
            Some(MenuItem::ShowChanges) => self.note = Some(self.difference()),
            Some(MenuItem::Submit) => {
                self.note = Some(self.summary());
                self.state = State::Confirm;
            }
            Some(MenuItem::Abort) | None => self.state = State::Aborted,
        }
        Ok(())
    }

    fn require_item(&self, section: Section) -> Result<(), String> {
        if self.names(section).is_empty() {
            return Err(format!("there is no {} yet", section.item()));
        }
        Ok(())
    }

    /// Checks that the sections that a form refers to contain an item to choose.
    fn require_referenced_items(&self, section: Section) -> Result<(), String> {
        let upstreams = self.draft["upstreams"].as_object();
        let has_service = upstreams
            .into_iter()
            .flatten()
            .any(|(_, upstream)| upstream["kind"] == "service");
        match section {
            Section::Teams => self.require_item(Section::Classes),
            Section::Services if !has_service => {
                Err("there is no upstream of the kind service yet".into())
            }
            _ => Ok(()),
        }
    }

    fn on_key_owner(&mut self, team: &str) -> Result<(), String> {
        if self.digests(team).is_empty() {
            return Err("a team that has a key".into());
        }
        self.state = State::SelectKeyToRemove(team.to_string());
        Ok(())
    }

    fn on_name(&mut self, section: Section, name: &str) -> Result<(), String> {
        let mut draft = self.draft.clone();
        if draft[section.path()].get(name).is_none() {
            draft[section.path()][name] = new_item(section, &draft);
        }
        let path = format!("{}.{name}", section.path());
        reject_matching(find_issues(&draft), |issue| issue.path == path)?;
        self.draft = draft;
        self.edit_first_field(section, name);
        Ok(())
    }

    fn edit_first_field(&mut self, section: Section, name: &str) {
        self.state = State::EditField {
            section,
            name: name.to_string(),
            field: 0,
        };
    }

    fn on_field(
        &mut self,
        section: Section,
        name: &str,
        index: usize,
        answer: &str,
    ) -> Result<(), String> {
        let field = fields_of(section, self.item(section, name))[index];
        let mut draft = self.draft.clone();
        if !answer.is_empty() {
            *item_mut(&mut draft, section, name, field.name) =
                field.parse(none_as_empty(answer))?;
        }
        if field.name == "kind" && draft[section.path()][name]["kind"] == "service" {
            for unused in ["models", "adapters"] {
                draft[section.path()][name][unused] = json!([]);
            }
            draft[section.path()][name]["reserved_slots"] = 0.into();
        }
        let own_path = field_path(section, name, field);
        let wildcard_path = format!("{}.*.{}", section.path(), field.name);
        reject_matching(find_issues(&draft), |issue| {
            issue.path == own_path || issue.path == wildcard_path
        })?;
        self.draft = draft;
        self.next_field(section, name, index);
        Ok(())
    }

    /// Moves to the next field. After the last field, moves to the first field
    /// that a later answer has made invalid, or to the menu.
    fn next_field(&mut self, section: Section, name: &str, index: usize) {
        let fields = fields_of(section, self.item(section, name));
        let field = if index + 1 < fields.len() {
            index + 1
        } else {
            let issues = find_issues(&self.draft);
            let invalid_field = fields.iter().position(|field| {
                let path = field_path(section, name, *field);
                issues.iter().any(|issue| issue.path == path)
            });
            let Some(invalid_field) = invalid_field else {
                self.state = State::Menu;
                return;
            };
            invalid_field
        };
        self.state = State::EditField {
            section,
            name: name.to_string(),
            field,
        };
    }

    fn on_remove(&mut self, section: Section, name: &str) -> Result<(), String> {
        let mut draft = self.draft.clone();
        if let Some(items) = draft[section.path()].as_object_mut() {
            items.remove(name);
        }
        reject_matching(find_issues(&draft), |_| true)?;
        self.draft = draft;
        self.state = State::Menu;
        Ok(())
    }

    fn on_remove_key(&mut self, team: &str, shown: &str) -> Result<(), String> {
        if let Some(digests) = self.draft["teams"][team]["key_digests"].as_array_mut() {
            digests.retain(|digest| {
                digest
                    .as_str()
                    .is_none_or(|text| short_digest(text) != shown)
            });
        }
        self.state = State::Menu;
        Ok(())
    }

    fn on_confirm(&mut self, answer: &str) -> Result<(), String> {
        if answer != "yes" {
            self.state = State::Menu;
            return Ok(());
        }
        let document =
            Document::parse(&self.draft.to_string()).map_err(|error| error.to_string())?;
        self.state = State::Finished(Box::new(document));
        Ok(())
    }

    /// Returns the changes and warnings of the draft.
    fn summary(&self) -> String {
        let mut lines = vec![self.difference()];
        if let Ok(document) = Document::parse(&self.draft.to_string()) {
            let warnings = document.warnings();
            lines.extend(warnings.iter().map(|warning| format!("warning: {warning}")));
        }
        lines.join("\n")
    }

    fn names(&self, section: Section) -> Vec<String> {
        let items = self.draft[section.path()].as_object();
        items
            .into_iter()
            .flatten()
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn digests(&self, team: &str) -> Vec<String> {
        let digests = self.draft["teams"][team]["key_digests"].as_array();
        let digests = digests.into_iter().flatten().filter_map(Value::as_str);
        digests.map(String::from).collect()
    }

    fn item(&self, section: Section, name: &str) -> &Value {
        match section {
            Section::Limits => &self.draft["limits"],
            _ => &self.draft[section.path()][name],
        }
    }

    fn name_question(&self, section: Section) -> Question {
        let existing = self.names(section).join(", ");
        let item = section.item();
        Question {
            id: item.to_string(),
            prompt: format!("Name of the {item}: a new one or one of [{existing}]"),
            kind: QuestionKind::Text { default: None },
            note: None,
        }
    }

    fn field_question(&self, section: Section, name: &str, index: usize) -> Question {
        let item = self.item(section, name);
        let field = fields_of(section, item)[index];
        let current = field.format(&item[field.name]);
        Question {
            id: field_path(section, name, field),
            prompt: field.prompt.to_string(),
            kind: QuestionKind::Text {
                default: Some(current),
            },
            note: None,
        }
    }
}

/// Converts the answer `none` to the empty string. `none` clears a list, because
/// an empty answer keeps the current value.
fn none_as_empty(answer: &str) -> &str {
    if answer == "none" {
        return "";
    }
    answer
}

fn field_path(section: Section, name: &str, field: Field) -> String {
    match section {
        Section::Limits => format!("limits.{}", field.name),
        _ => format!("{}.{name}.{}", section.path(), field.name),
    }
}

fn item_mut<'a>(draft: &'a mut Value, section: Section, name: &str, field: &str) -> &'a mut Value {
    match section {
        Section::Limits => &mut draft["limits"][field],
        _ => &mut draft[section.path()][name][field],
    }
}

fn find_issues(draft: &Value) -> Vec<Issue> {
    match Document::parse(&draft.to_string()) {
        Ok(_) => Vec::new(),
        Err(invalid) => invalid.errors,
    }
}

fn reject_matching(issues: Vec<Issue>, is_relevant: impl Fn(&Issue) -> bool) -> Result<(), String> {
    let rules: Vec<String> = issues
        .iter()
        .filter(|issue| is_relevant(issue))
        .map(|issue| format!("{} ({})", issue.rule, issue.path))
        .collect();
    if rules.is_empty() {
        return Ok(());
    }
    Err(rules.join("; "))
}

fn short_digest(digest: &str) -> &str {
    digest.get(..DIGEST_SHOWN_DIGITS).unwrap_or(digest)
}

fn choice_question(id: &str, prompt: &str, options: Vec<String>) -> Question {
    Question {
        id: id.to_string(),
        prompt: prompt.to_string(),
        kind: QuestionKind::Choice { options },
        note: None,
    }
}

fn menu_options() -> Vec<String> {
    let names = MenuItem::ALL.iter().map(|(name, _)| (*name).to_string());
    names.collect()
}
