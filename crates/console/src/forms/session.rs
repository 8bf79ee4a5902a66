//! The state machine of a form session.

use config::{Document, Issue};
use serde_json::{json, Value};
use types::TeamName;

use super::{
    fields::{fields_of, new_item, Field},
    MenuItem, Question, QuestionKind, RejectedAnswer, Section,
};
use crate::difference;

/// Leading digits by which a key digest is shown.
const DIGEST_SHOWN_DIGITS: usize = 8;

/// What comes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A question; see [`FormSession::answer`].
    Ask(Question),
    /// A key is to be made; see [`FormSession::add_key`].
    CreateKey {
        /// For this team.
        team: TeamName,
    },
    /// The session yields this document.
    Finished(Box<Document>),
    /// The session was given up; nothing changes.
    Aborted,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Menu,
    NameItem(Section),
    PickRemoved(Section),
    PickKeyTeam,
    PickKeyOwner,
    PickKey(String),
    Fill {
        section: Section,
        name: String,
        field: usize,
    },
    CreateKey(String),
    Confirm,
    Finished(Box<Document>),
    Aborted,
}

/// A session of forms.
///
/// # Invariants
///
/// Between two forms the draft is a valid document.
#[derive(Clone, Debug)]
pub struct FormSession {
    in_force: Document,
    draft: Value,
    state: State,
    note: Option<String>,
}

impl FormSession {
    /// Starts from the document in force.
    pub fn new(in_force: Document) -> Self {
        Self {
            // A struct of names and numbers: serialization can't fail.
            draft: serde_json::to_value(&in_force).unwrap_or_default(),
            in_force,
            state: State::Menu,
            note: None,
        }
    }

    /// What comes next.
    pub fn step(&self) -> Step {
        let question = match &self.state {
            State::Menu => choice("menu", "What to change", menu_options()),
            State::NameItem(section) => self.name_question(*section),
            State::PickRemoved(section) => {
                let id = format!("remove.{}", section.item());
                choice(&id, "Which one to remove", self.names(*section))
            }
            State::PickKeyTeam => choice(
                "key.team",
                "Team that gets a new key",
                self.names(Section::Teams),
            ),
            State::PickKeyOwner => choice(
                "key.owner",
                "Team that loses a key",
                self.names(Section::Teams),
            ),
            State::PickKey(team) => {
                let digests = self.digests(team);
                let shown = digests.iter().map(|one| shown_digest(one).to_string());
                choice("key.digest", "Digest of the key to remove", shown.collect())
            }
            State::Fill {
                section,
                name,
                field,
            } => self.field_question(*section, name, *field),
            State::Confirm => {
                let options = vec!["yes".to_string(), "no".to_string()];
                choice("confirm", "Put this into force", options)
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

    /// Takes the answer to the question asked.
    ///
    /// # Errors
    ///
    /// [`RejectedAnswer`] names the rule; the question stands.
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
        let taken = match self.state.clone() {
            State::Menu => self.on_menu(answer),
            State::NameItem(section) => self.on_name(section, answer),
            State::PickRemoved(section) => self.on_remove(section, answer),
            State::PickKeyTeam => {
                self.state = State::CreateKey(answer.to_string());
                Ok(())
            }
            State::PickKeyOwner => self.on_key_owner(answer),
            State::PickKey(team) => self.on_remove_key(&team, answer),
            State::Fill {
                section,
                name,
                field,
            } => self.on_field(section, &name, field, answer),
            State::Confirm => self.on_confirm(answer),
            State::CreateKey(_) | State::Finished(_) | State::Aborted => Ok(()),
        };
        if taken.is_err() {
            self.note = note;
        }
        taken.map_err(rejected)
    }

    /// Adds the digest of the key that [`Step::CreateKey`] asked for.
    pub fn add_key(&mut self, digest: &str) {
        let State::CreateKey(team) = self.state.clone() else {
            return;
        };
        if let Some(digests) = self.draft["teams"][&team]["key_digests"].as_array_mut() {
            digests.push(digest.into());
        }
        self.state = State::Menu;
    }

    /// What the draft changes, one line each.
    pub fn difference(&self) -> String {
        let Ok(draft) = Document::parse(&self.draft.to_string()) else {
            return String::new();
        };
        let changes = difference(&self.in_force, &draft);
        if changes.is_empty() {
            return "nothing has changed".to_string();
        }
        let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }

    fn on_menu(&mut self, answer: &str) -> Result<(), String> {
        // The answer is one of the options.
        match MenuItem::parse(answer) {
            Some(MenuItem::Edit(Section::Limits)) => self.fill(Section::Limits, ""),
            Some(MenuItem::Edit(section)) => {
                self.need_what_it_refers_to(section)?;
                self.state = State::NameItem(section);
            }
            Some(MenuItem::Remove(section)) => {
                self.need_some(section)?;
                self.state = State::PickRemoved(section);
            }
            Some(MenuItem::NewKey) => {
                self.need_some(Section::Teams)?;
                self.state = State::PickKeyTeam;
            }
            Some(MenuItem::RemoveKey) => {
                self.need_some(Section::Teams)?;
                self.state = State::PickKeyOwner;
            }
            Some(MenuItem::Difference) => self.note = Some(self.difference()),
            Some(MenuItem::Finish) => {
                self.note = Some(self.summary());
                self.state = State::Confirm;
            }
            Some(MenuItem::GiveUp) | None => self.state = State::Aborted,
        }
        Ok(())
    }

    fn need_some(&self, section: Section) -> Result<(), String> {
        if self.names(section).is_empty() {
            return Err(format!("there is no {} yet", section.item()));
        }
        Ok(())
    }

    /// A form that asks for a name of another section needs one there.
    fn need_what_it_refers_to(&self, section: Section) -> Result<(), String> {
        let upstreams = self.draft["upstreams"].as_object();
        let has_service = upstreams
            .into_iter()
            .flatten()
            .any(|(_, upstream)| upstream["kind"] == "service");
        match section {
            Section::Teams => self.need_some(Section::Classes),
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
        self.state = State::PickKey(team.to_string());
        Ok(())
    }

    fn on_name(&mut self, section: Section, name: &str) -> Result<(), String> {
        let mut draft = self.draft.clone();
        if draft[section.path()].get(name).is_none() {
            draft[section.path()][name] = new_item(section, &draft);
        }
        let path = format!("{}.{name}", section.path());
        refuse(issues(&draft), |issue| issue.path == path)?;
        self.draft = draft;
        self.fill(section, name);
        Ok(())
    }

    fn fill(&mut self, section: Section, name: &str) {
        self.state = State::Fill {
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
            *item_mut(&mut draft, section, name, field.name) = field.parse(cleared(answer))?;
        }
        if field.name == "kind" && draft[section.path()][name]["kind"] == "service" {
            for unused in ["models", "adapters"] {
                draft[section.path()][name][unused] = json!([]);
            }
            draft[section.path()][name]["reserved_slots"] = 0.into();
        }
        let own = field_path(section, name, field);
        let over_all = format!("{}.*.{}", section.path(), field.name);
        refuse(issues(&draft), |issue| {
            issue.path == own || issue.path == over_all
        })?;
        self.draft = draft;
        self.next_field(section, name, index);
        Ok(())
    }

    /// Goes on to the next field, or from the last one back to the first one
    /// that another answer made wrong, or to the menu.
    fn next_field(&mut self, section: Section, name: &str, index: usize) {
        let fields = fields_of(section, self.item(section, name));
        let field = if index + 1 < fields.len() {
            index + 1
        } else {
            let issues = issues(&self.draft);
            let wrong = fields.iter().position(|field| {
                let path = field_path(section, name, *field);
                issues.iter().any(|issue| issue.path == path)
            });
            let Some(wrong) = wrong else {
                self.state = State::Menu;
                return;
            };
            wrong
        };
        self.state = State::Fill {
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
        refuse(issues(&draft), |_| true)?;
        self.draft = draft;
        self.state = State::Menu;
        Ok(())
    }

    fn on_remove_key(&mut self, team: &str, shown: &str) -> Result<(), String> {
        if let Some(digests) = self.draft["teams"][team]["key_digests"].as_array_mut() {
            digests.retain(|digest| digest.as_str().is_none_or(|one| shown_digest(one) != shown));
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

    /// The difference and what is probably not meant.
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
        let known = self.names(section).join(", ");
        let item = section.item();
        Question {
            id: item.to_string(),
            prompt: format!("Name of the {item}, a new one or one of [{known}]"),
            kind: QuestionKind::Text { default: None },
            note: None,
        }
    }

    fn field_question(&self, section: Section, name: &str, index: usize) -> Question {
        let item = self.item(section, name);
        let field = fields_of(section, item)[index];
        let current = field.text(&item[field.name]);
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

/// `none` empties a list, for an empty answer keeps it.
fn cleared(answer: &str) -> &str {
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

fn issues(draft: &Value) -> Vec<Issue> {
    match Document::parse(&draft.to_string()) {
        Ok(_) => Vec::new(),
        Err(invalid) => invalid.errors,
    }
}

fn refuse(issues: Vec<Issue>, concerns: impl Fn(&Issue) -> bool) -> Result<(), String> {
    let rules: Vec<String> = issues
        .iter()
        .filter(|issue| concerns(issue))
        .map(|issue| format!("{} ({})", issue.rule, issue.path))
        .collect();
    if rules.is_empty() {
        return Ok(());
    }
    Err(rules.join("; "))
}

fn shown_digest(digest: &str) -> &str {
    digest.get(..DIGEST_SHOWN_DIGITS).unwrap_or(digest)
}

fn choice(id: &str, prompt: &str, options: Vec<String>) -> Question {
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
