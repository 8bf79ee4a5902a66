//! Classification: assigns a request to one of its team's classes.

use std::time::Duration;

use config::Snapshot;
use trillium::Conn;
use types::{ErrorCode, Priority, TeamName};

use crate::{failure::Failure, request::ResolvedClass};

/// Header with which a caller selects one of its team's classes.
const CLASS_HEADER: &str = "limpetgw-class";

/// Returns the class that the header selects, or the team's first by default.
///
/// # Errors
///
/// `class_not_allowed` if the team does not have the class.
pub(crate) fn classify(
    conn: &Conn,
    config: &Snapshot,
    team_name: &TeamName,
) -> Result<ResolvedClass, Failure> {
    let team_classes = config
        .document
        .teams
        .get(team_name)
        .map_or(&[][..], |team| team.classes.as_slice());
    let name = match conn.request_headers().get_str(CLASS_HEADER) {
        Some(requested) => team_classes
            .iter()
            .find(|class| class.as_str() == requested),
        None => team_classes.first(),
    };
    let found = name.and_then(|name| config.document.classes.get_key_value(name));
    let Some((name, class)) = found else {
        return Err(Failure::not_run(
            ErrorCode::ClassNotAllowed,
            "your team may not use this class; omit `limpetgw-class` or set it to one of your team's classes",
        ));
    };
    Ok(ResolvedClass {
        class: name.clone(),
        priority: Priority(class.priority),
        deadline: Duration::from_millis(class.deadline_ms),
        first_token_target_ms: class.first_token_target_ms,
    })
}
