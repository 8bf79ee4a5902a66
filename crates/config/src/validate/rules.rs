//! The validation rules of a document.

use std::{fmt::Display, ops::RangeInclusive};

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use types::{RouteName, TeamName};

use super::Issue;
use crate::{Class, Document, Service, Team, Upstream, UpstreamKind};

/// Maximum length of the name of a class, team, upstream or service.
const NAME_MAX_BYTES: usize = 64;
/// Maximum length of a model or adapter name.
const MODEL_NAME_MAX_BYTES: usize = 128;
/// Length of a BLAKE3 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;
/// Maximum sum of the minimum shares of all classes, in thousandths.
pub(crate) const MIN_SHARE_SUM_MAX_PERMILLE: u32 = 500;

/// Appends every violated rule to `issues`. References to items at
/// `invalid_paths`, which failed to parse, are not reported again.
pub(super) fn check(
    document: &Document,
    invalid_paths: &IndexSet<String>,
    issues: &mut Vec<Issue>,
) {
    for (name, class) in &document.classes {
        check_class(name.as_str(), class, issues);
    }
    check_class_relations(document, issues);
    for (name, team) in &document.teams {
        check_team(name.as_str(), team, issues);
        check_team_classes(document, invalid_paths, name, team, issues);
    }
    check_unique_digests(document, issues);
    for (name, upstream) in &document.upstreams {
        check_upstream(name.as_str(), upstream, issues);
    }
    check_unique_models(document, issues);
    for (name, service) in &document.services {
        check_service(name.as_str(), service, issues);
        check_service_upstream(document, invalid_paths, name, service, issues);
    }
    check_limits(document, issues);
}

/// Returns warnings about settings that are valid but probably unintended.
pub(super) fn warnings(document: &Document) -> Vec<Issue> {
    let mut warnings = Vec::new();
    for name in document.classes.keys() {
        let used = document
            .teams
            .values()
            .any(|team| team.classes.contains(name));
        if !used {
            warnings.push(Issue::new(
                format!("classes.{name}"),
                name,
                "no team uses this class",
            ));
        }
    }
    for (name, team) in &document.teams {
        if team.key_digests.is_empty() {
            let path = format!("teams.{name}.key_digests");
            warnings.push(Issue::new(path, &team.key_digests, "the team has no key"));
        }
    }
    for (name, upstream) in &document.upstreams {
        let routed = document
            .services
            .values()
            .any(|service| service.upstream == *name);
        if upstream.kind == UpstreamKind::Service && !routed {
            let path = format!("upstreams.{name}");
            warnings.push(Issue::new(path, name, "no service uses this upstream"));
        }
    }
    warnings
}

fn check_class(name: &str, class: &Class, issues: &mut Vec<Issue>) {
    let path = format!("classes.{name}");
    check_name(&path, name, issues);
    let mut field = |field, value, allowed| {
        check_range(format!("{path}.{field}"), value, allowed, issues);
    };
    field(
        "first_token_target_ms",
        class.first_token_target_ms,
        1..=600_000,
    );
    field("token_gap_target_ms", class.token_gap_target_ms, 0..=60_000);
    field("deadline_ms", class.deadline_ms, 1..=3_600_000);
    field("queue_limit", class.queue_limit.into(), 1..=100_000);
    if class.deadline_ms < class.first_token_target_ms {
        let rule = format!(
            "at least first_token_target_ms, which is {}",
            class.first_token_target_ms
        );
        issues.push(Issue::new(
            format!("{path}.deadline_ms"),
            class.deadline_ms,
            rule,
        ));
    }
}

fn check_class_relations(document: &Document, issues: &mut Vec<Issue>) {
    let mut owners = IndexMap::new();
    for (name, class) in &document.classes {
        if let Some(other) = owners.insert(class.priority, name) {
            let path = format!("classes.{name}.priority");
            let rule = format!("unique, but class {other} has it too");
            issues.push(Issue::new(path, class.priority, rule));
        }
    }
    let shares = document
        .classes
        .values()
        .map(|class| u64::from(class.min_share_permille));
    let sum_permille: u64 = shares.sum();
    if sum_permille > u64::from(MIN_SHARE_SUM_MAX_PERMILLE) {
        let rule =
            format!("the sum over all classes is at most {MIN_SHARE_SUM_MAX_PERMILLE} permille");
        issues.push(Issue::new(
            "classes.*.min_share_permille",
            sum_permille,
            rule,
        ));
    }
}

fn check_team(name: &str, team: &Team, issues: &mut Vec<Issue>) {
    let path = format!("teams.{name}");
    check_name(&path, name, issues);
    check_range(
        format!("{path}.weight"),
        team.weight.into(),
        1..=1000,
        issues,
    );
    let classes = format!("{path}.classes");
    if team.classes.is_empty() {
        issues.push(Issue::new(&classes, &team.classes, "at least one class"));
    }
    check_unique(&classes, &team.classes, issues);
    for digest in &team.key_digests {
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if digest.len() != DIGEST_DIGITS || !digest.bytes().all(is_hex) {
            // The value may be an API key pasted by mistake, so it is not shown.
            let value = format!("a text of {} bytes", digest.len());
            let rule = "64 lower-case hexadecimal digits, as `limpetgw keys new` prints them";
            issues.push(Issue::new(format!("{path}.key_digests"), value, rule));
        }
    }
}

fn check_team_classes(
    document: &Document,
    invalid_paths: &IndexSet<String>,
    name: &TeamName,
    team: &Team,
    issues: &mut Vec<Issue>,
) {
    for class in &team.classes {
        let class_exists = document.classes.contains_key(class);
        if class_exists || invalid_paths.contains(&format!("classes.{class}")) {
            continue;
        }
        let rule = format!(
            "one of the classes [{}]",
            join_names(document.classes.keys())
        );
        issues.push(Issue::new(format!("teams.{name}.classes"), class, rule));
    }
}

fn check_unique_digests(document: &Document, issues: &mut Vec<Issue>) {
    let mut owners = IndexMap::new();
    for (name, team) in &document.teams {
        for digest in &team.key_digests {
            if let Some(other) = owners.insert(digest, name) {
                let path = format!("teams.{name}.key_digests");
                let value: String = digest.chars().take(8).collect();
                let rule = format!("unique over all teams, but team {other} has it too");
                issues.push(Issue::new(path, value, rule));
            }
        }
    }
}

fn check_upstream(name: &str, upstream: &Upstream, issues: &mut Vec<Issue>) {
    let path = format!("upstreams.{name}");
    check_name(&path, name, issues);
    check_range(
        format!("{path}.running_min"),
        upstream.running_min.into(),
        1..=4096,
        issues,
    );
    check_range(
        format!("{path}.running_max"),
        upstream.running_max.into(),
        u64::from(upstream.running_min)..=4096,
        issues,
    );
    if upstream.reserved_slots >= upstream.running_max.max(1) {
        let path = format!("{path}.reserved_slots");
        let rule = format!("below running_max, which is {}", upstream.running_max);
        issues.push(Issue::new(path, upstream.reserved_slots, rule));
    }
    let models = format!("{path}.models");
    match (upstream.kind, upstream.models.is_empty()) {
        (UpstreamKind::Engine, true) => issues.push(Issue::new(
            &models,
            &upstream.models,
            "at least one model for the kind engine",
        )),
        (UpstreamKind::Service, false) => issues.push(Issue::new(
            &models,
            &upstream.models,
            "none for the kind service",
        )),
        _ => {}
    }
    let adapters = format!("{path}.adapters");
    if upstream.kind == UpstreamKind::Service && !upstream.adapters.is_empty() {
        let rule = "none for the kind service";
        issues.push(Issue::new(&adapters, &upstream.adapters, rule));
    }
    check_unique(&adapters, &upstream.adapters, issues);
    for model in &upstream.models {
        check_model_name(&models, model.as_str(), issues);
    }
    for adapter in &upstream.adapters {
        check_model_name(&adapters, adapter, issues);
    }
}

fn check_unique_models(document: &Document, issues: &mut Vec<Issue>) {
    let mut owners = IndexMap::new();
    for (name, upstream) in &document.upstreams {
        for model in &upstream.models {
            if let Some(other) = owners.insert(model, name) {
                let path = format!("upstreams.{name}.models");
                let rule = format!("unique over all upstreams, but {other} has it too");
                issues.push(Issue::new(path, model, rule));
            }
        }
    }
}

fn check_service(name: &str, service: &Service, issues: &mut Vec<Issue>) {
    let path = format!("services.{name}");
    check_name(&path, name, issues);
    let prefixes = format!("{path}.at_most_once_prefixes");
    check_unique(&prefixes, &service.at_most_once_prefixes, issues);
    for prefix in &service.at_most_once_prefixes {
        let has_parent_dir = prefix.split('/').any(|part| part == "..");
        if !prefix.starts_with('/') || has_parent_dir || prefix.contains(['?', '#']) {
            let rule = "a path that starts with / and has no .., ? or #";
            issues.push(Issue::new(&prefixes, prefix, rule));
        }
    }
}

fn check_service_upstream(
    document: &Document,
    invalid_paths: &IndexSet<String>,
    name: &RouteName,
    service: &Service,
    issues: &mut Vec<Issue>,
) {
    let upstream = &service.upstream;
    if invalid_paths.contains(&format!("upstreams.{upstream}")) {
        return;
    }
    let kind = document.upstreams.get(upstream).map(|found| found.kind);
    if kind != Some(UpstreamKind::Service) {
        let path = format!("services.{name}.upstream");
        let rule = "an existing upstream of the kind service";
        issues.push(Issue::new(path, upstream, rule));
    }
}

fn check_limits(document: &Document, issues: &mut Vec<Issue>) {
    let limits = &document.limits;
    check_range(
        "limits.body_max_bytes".into(),
        limits.body_max_bytes,
        1024..=64 << 20,
        issues,
    );
    check_range(
        "limits.entry_in_flight_max".into(),
        limits.entry_in_flight_max.into(),
        1..=1_000_000,
        issues,
    );
}

fn check_range(path: String, value: u64, allowed: RangeInclusive<u64>, issues: &mut Vec<Issue>) {
    if allowed.contains(&value) {
        return;
    }
    let rule = format!("{} to {}", allowed.start(), allowed.end());
    issues.push(Issue::new(path, value, rule));
}

fn check_unique<T: PartialEq + Serialize>(path: &str, values: &[T], issues: &mut Vec<Issue>) {
    for (index, value) in values.iter().enumerate() {
        if values[..index].contains(value) {
            issues.push(Issue::new(path, value, "listed once"));
        }
    }
}

fn check_name(path: &str, name: &str, issues: &mut Vec<Issue>) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let has_valid_start = name.starts_with(|first: char| first.is_ascii_alphanumeric());
    if has_valid_start && name.len() <= NAME_MAX_BYTES && name.bytes().all(is_allowed) {
        return;
    }
    let rule = format!(
        "a name of 1 to {NAME_MAX_BYTES} letters, digits, -, _ or ., starting with a letter or digit"
    );
    issues.push(Issue::new(path, name, rule));
}

fn check_model_name(path: &str, name: &str, issues: &mut Vec<Issue>) {
    let is_allowed = |byte: u8| byte.is_ascii_graphic();
    let length = 1..=MODEL_NAME_MAX_BYTES;
    if length.contains(&name.len()) && name.bytes().all(is_allowed) {
        return;
    }
    let rule = format!("1 to {MODEL_NAME_MAX_BYTES} printable ASCII characters without spaces");
    issues.push(Issue::new(path, name, rule));
}

fn join_names<T: Display>(names: impl Iterator<Item = T>) -> String {
    let names: IndexSet<String> = names.map(|name| name.to_string()).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}
