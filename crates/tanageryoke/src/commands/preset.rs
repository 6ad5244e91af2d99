//! `tanageryoke preset`: lists, checks, writes and chooses presets.

use std::{
    fmt,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::Arc,
    time::Duration, //
};

use clap::{
    Args,
    Subcommand, //
};
use config::{
    file::{
        self,
        Fault,
        Format, //
    },
    Preset,
    Presets, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use serde_json::json;

use crate::commands::{
    conflict,
    document::{
        self,
        Document, //
    },
    output,
    rollout::{
        self,
        Rollout, //
    },
    target::{
        block_on,
        Target, //
    },
    Error,
};

/// Maximum length of a preset's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Options of `preset`.
#[derive(Debug, Args)]
pub struct Flags {
    #[command(flatten)]
    target: Target,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists the presets and shows which one is in force.
    List,
    /// Prints one preset.
    Show {
        /// Name of the preset.
        name: String,
    },
    /// Checks a preset file without writing anything.
    Check {
        /// File with the extension `toml` or `json`.
        file: PathBuf,
    },
    /// Writes a preset from a file.
    Put {
        /// Name of the preset.
        name: String,
        /// File with the extension `toml` or `json`.
        file: PathBuf,
        #[command(flatten)]
        change: Condition,
    },
    /// Puts a preset in force.
    Use {
        /// Name of the preset.
        name: String,
        #[command(flatten)]
        change: Condition,
    },
}

/// Options of the actions that change the presets.
#[derive(Debug, Args)]
struct Condition {
    /// Longest wait until all instances have the change in force.
    #[arg(long, env = "TANAGERYOKE_WAIT", default_value = "5s", value_parser = humantime::parse_duration)]
    wait: Duration,
    /// Makes the change only if the presets have this version.
    #[arg(long)]
    if_version: Option<u64>,
}

/// Reason why an action is refused.
#[derive(Debug)]
enum Refusal {
    Name(String),
    Unknown(Vec<Arc<str>>),
    Faults(Vec<Fault>),
    Version { wanted: u64, found: u64 },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(name) => write!(
                f,
                "{name:?} isn't a valid name, expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
            ),
            Self::Unknown(names) => write!(f, "no such preset, there are: {}", names.join(", ")),
            Self::Faults(faults) => {
                let lines = faults.iter().map(ToString::to_string);
                f.write_str(&lines.collect::<Vec<_>>().join("\n"))
            }
            Self::Version { wanted, found } => {
                write!(f, "the presets have version {found}, not {wanted}")
            }
        }
    }
}

impl std::error::Error for Refusal {}

/// Runs one action.
///
/// # Errors
///
/// Fails if the store or a file can't be read, or if nothing could be written. A refusal, a conflicting
/// change and an unknown outcome give exit code 1.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let target = &flags.target;
    if let Action::Check { file } = &flags.action {
        return check(target, file);
    }
    if let Some(code) = target.report_missing_platform() {
        return Ok(code);
    }
    match &flags.action {
        Action::Check { file } => check(target, file),
        Action::List => block_on(list(target)),
        Action::Show { name } => block_on(show(target, name)),
        Action::Put { name, file, change } => {
            let preset = load(file)?;
            block_on(change_presets(target, change, name, |presets| {
                put(presets, name, preset.clone())
            }))
        }
        Action::Use { name, change } => block_on(change_presets(target, change, name, |presets| {
            activate(presets, name)
        })),
    }
}

async fn list(target: &Target) -> Result<ExitCode, Report<Error>> {
    let presets = document::read::<Presets, _>(&target.client()?, Presets::NAME).await?;
    if target.json {
        output::print_json(&json!({
            "version": presets.version,
            "in_force": presets.value.in_force,
            "presets": presets.value.presets.keys().collect::<Vec<_>>(),
        }));
        return Ok(ExitCode::SUCCESS);
    }
    let mut rows = vec![["PRESET", "IN FORCE"].map(str::to_owned)];
    for name in presets.value.presets.keys() {
        let in_force = match *name == presets.value.in_force {
            true => "yes",
            false => "",
        };
        rows.push([name.to_string(), in_force.to_owned()]);
    }
    output::print_table(&rows);
    output::print_line(&format!("version {}", presets.version));
    Ok(ExitCode::SUCCESS)
}

async fn show(target: &Target, name: &str) -> Result<ExitCode, Report<Error>> {
    let presets = document::read::<Presets, _>(&target.client()?, Presets::NAME).await?;
    let Some(preset) = presets.value.presets.get(name) else {
        return Ok(refused(target, &unknown(&presets.value)));
    };
    match target.json {
        true => output::print_json(preset),
        false => {
            let text = toml::to_string(&**preset).change_context(Error::Document)?;
            output::print_line(text.trim_end());
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn check(target: &Target, path: &Path) -> Result<ExitCode, Report<Error>> {
    match load(path)? {
        Ok(_) if target.json => output::print_json(&json!({ "valid": true })),
        Ok(_) => output::print_line(&format!("{}: valid", path.display())),
        Err(faults) => return Ok(refused(target, &Refusal::Faults(faults))),
    }
    Ok(ExitCode::SUCCESS)
}

fn load(path: &Path) -> Result<Result<Preset, Vec<Fault>>, Report<Error>> {
    let format = Format::of(path).ok_or_else(|| {
        Report::new(Error::File).attach("expected the extension `toml` or `json`")
    })?;
    let text = std::fs::read_to_string(path)
        .change_context(Error::File)
        .attach_with(|| path.display().to_string())?;
    Ok(file::parse(&text, format))
}

/// Reads the presets, changes them, and writes them back unless another operator changed them in the
/// meantime. If the preset `name` is in force, waits for the instances to apply it.
async fn change_presets(
    target: &Target,
    condition: &Condition,
    name: &str,
    change: impl FnOnce(&Presets) -> Result<Presets, Refusal>,
) -> Result<ExitCode, Report<Error>> {
    let store = target.client()?;
    let base = document::read::<Presets, _>(&store, Presets::NAME).await?;
    let next = match check_version(&base, condition).and_then(|()| change(&base.value)) {
        Ok(next) => next,
        Err(refusal) => return Ok(refused(target, &refusal)),
    };
    let version = match base.version > 0 && next == base.value {
        true => base.version,
        false => {
            let update = document::write(&store, Presets::NAME, &base, &next).await?;
            let headline = |current: &Presets| format!("in force now: {}", current.in_force);
            match conflict::resolve(target, &base, update, headline) {
                Ok(version) => version,
                Err(code) => return Ok(code),
            }
        }
    };
    let rollout = match *next.in_force == *name {
        true => Some(rollout::wait_for(&store, target, version, condition.wait).await),
        false => None,
    };
    print_result(target, &next, version, rollout);
    Ok(ExitCode::SUCCESS)
}

fn check_version(base: &Document<Presets>, condition: &Condition) -> Result<(), Refusal> {
    match condition.if_version {
        Some(wanted) if wanted != base.version => Err(Refusal::Version {
            wanted,
            found: base.version,
        }),
        _ => Ok(()),
    }
}

fn put(
    presets: &Presets,
    name: &str,
    preset: Result<Preset, Vec<Fault>>,
) -> Result<Presets, Refusal> {
    let preset = preset.map_err(Refusal::Faults)?;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !name.bytes().all(allowed) {
        return Err(Refusal::Name(name.to_owned()));
    }
    let mut next = presets.clone();
    next.presets.insert(name.into(), Arc::new(preset));
    // Exactly one preset has to be in force, so the first one is.
    if next.current().is_none() {
        next.in_force = name.into();
    }
    Ok(next)
}

fn activate(presets: &Presets, name: &str) -> Result<Presets, Refusal> {
    let Some(preset) = presets.presets.get(name) else {
        return Err(unknown(presets));
    };
    // Another tool may have written a preset with values out of range.
    match file::check(preset) {
        faults if faults.is_empty() => {}
        faults => return Err(Refusal::Faults(faults)),
    }
    let mut next = presets.clone();
    next.in_force = name.into();
    Ok(next)
}

fn unknown(presets: &Presets) -> Refusal {
    Refusal::Unknown(presets.presets.keys().cloned().collect())
}

fn print_result(target: &Target, presets: &Presets, version: u64, rollout: Option<Rollout>) {
    if target.json {
        output::print_json(&json!({
            "version": version,
            "in_force": presets.in_force,
            "instances": rollout,
        }));
        return;
    }
    let name = &presets.in_force;
    output::print_line(&format!("version {version}, in force: {name}"));
    rollout.iter().for_each(Rollout::print);
}

fn refused(target: &Target, refusal: &Refusal) -> ExitCode {
    output::refuse(target.json, &refusal.to_string())
}
