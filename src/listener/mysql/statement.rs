//! Classifies statements by the rules in `deploy/mysql.toml`, and applies their hints.

use super::error::{code, sql_state, MysqlError};
use super::{sql, Shared};
use crate::mysql::config::Rule;
use std::sync::Arc;

/// Number of first words of a statement that rules are matched against.
const COMPARED_WORDS: usize = 4;
/// Exclusive upper bound of numbers in hints.
const HINT_BOUND: f64 = 1e9;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The table group of a statement that does not name one.
const NO_TABLE_GROUP: i64 = -1;

/// A statement with its properties from `deploy/mysql.toml` and its hints.
#[derive(Clone)]
pub struct Statement {
    /// The SQL text.
    pub text: Arc<[u8]>,
    /// Index of its class in the settings.
    pub class: usize,
    /// The table group that it reads or writes; -1 if unknown.
    pub table_group: i64,
    /// How long its client waits (s).
    pub timeout: f64,
    /// Estimated work (ms of one thread).
    pub estimated_work: Option<f64>,
    /// Estimated memory (MB).
    pub estimated_memory: Option<f64>,
    /// The source of its idempotency key, if it has one.
    pub key: Option<KeySource>,
    /// Number of its parameters.
    pub parameter_count: usize,
    /// Types of the parameters as last bound, two bytes each. An execution that omits the types uses these.
    pub types: Vec<u8>,
}

/// The source of an idempotency key.
#[derive(Clone)]
pub enum KeySource {
    /// The key itself, from a hint.
    Hint(Arc<str>),
    /// The value of the parameter at this position, from 0.
    Parameter(usize),
}

impl Statement {
    /// Classifies a statement.
    ///
    /// # Errors
    /// No rule matches, or the key hint refers to a parameter that the statement does not have.
    pub fn classify(text: &str, shared: &Shared) -> Result<Self, MysqlError> {
        let position = class_position(text, shared)
            .ok_or_else(|| MysqlError::not_supported("statements of no class in deploy/mysql.toml"))?;
        let class = &shared.classes[position];
        let defaults = shared.config.class_defaults.get(&*class.name).cloned().unwrap_or_default();
        let hints = sql::hints(text);
        let parameter_count = sql::parameter_count(text);
        let key = hints.key.map(KeySource::from_hint);
        if let Some(KeySource::Parameter(position)) = key {
            check_key_position(position, parameter_count)?;
        }
        let deadline_ms = usable(hints.deadline_ms).or(defaults.deadline_ms);
        Ok(Self {
            text: text.as_bytes().into(),
            class: position,
            table_group: sql::table_group(text).unwrap_or(NO_TABLE_GROUP),
            timeout: deadline_ms.map_or(class.client_timeout, |ms| ms / MILLISECONDS_PER_SECOND),
            estimated_work: usable(hints.estimate_ms).or(defaults.estimate_ms),
            estimated_memory: usable(hints.memory_mb).or(defaults.memory_mb),
            key,
            parameter_count,
            types: Vec::new(),
        })
    }

    /// The statement without its text.
    pub fn without_text(&self) -> Self {
        Self { text: Arc::default(), ..self.clone() }
    }
}

impl KeySource {
    /// `?N` refers to parameter N, counted from 1; anything else is the key itself.
    fn from_hint(hint: String) -> Self {
        let number = hint.strip_prefix('?').and_then(|number| number.parse::<usize>().ok());
        number.map_or_else(|| Self::Hint(hint.as_str().into()), |n| Self::Parameter(n.saturating_sub(1)))
    }
}

/// Position of the class that the first matching rule names.
fn class_position(text: &str, shared: &Shared) -> Option<usize> {
    let first_words = sql::first_words(text, COMPARED_WORDS).join(" ");
    let lower_case = text.to_ascii_lowercase();
    let rule =
        shared.config.statement_rules.iter().find(|rule| matches_rule(rule, &first_words, &lower_case))?;
    shared.classes.iter().position(|class| *class.name == *rule.class)
}

fn matches_rule(rule: &Rule, first_words: &str, lower_case: &str) -> bool {
    let prefix = rule.prefix.to_ascii_lowercase();
    let rest = first_words.strip_prefix(prefix.as_str());
    let has_prefix = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(' '));
    has_prefix && lower_case.contains(&rule.contains.to_ascii_lowercase())
}

fn check_key_position(position: usize, parameter_count: usize) -> Result<(), MysqlError> {
    if position < parameter_count {
        return Ok(());
    }
    let number = position + 1;
    let message = format!("The key hint names parameter {number}, and there are {parameter_count}");
    Err(MysqlError::new(code::WRONG_ARGUMENTS, sql_state::GENERAL, message))
}

/// A hint's number, if it is positive and below the bound; otherwise the hint is ignored.
fn usable(number: Option<f64>) -> Option<f64> {
    number.filter(|number| *number > 0.0 && *number < HINT_BOUND)
}
