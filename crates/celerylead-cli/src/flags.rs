//! Definition of the flags and commands.

use std::str::FromStr;

use bpaf::Bpaf;

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<OutputFormat, String> {
        match text {
            "text" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            _ => Err("accepted are text and json".to_owned()),
        }
    }
}

/// Operators' command line of celerylead
///
/// Exit codes: 0 done; 1 failed or in doubt; 3 rejected, nothing was
/// changed; 4 others have changed the settings meanwhile, nothing was changed;
/// 5 accepted, but not in force on every live host in time.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct OperatorFlags {
    /// Address of the platform's table service
    #[bpaf(env("CELERYLEAD_TABLE"), argument("IP:PORT"), optional)]
    pub(crate) table: Option<String>,
    /// Who makes the change, for the audit trail
    #[bpaf(env("CELERYLEAD_OPERATOR"), argument("NAME"), optional)]
    pub(crate) operator: Option<String>,
    /// Format of the output: text or json
    #[bpaf(argument("FORM"), fallback(OutputFormat::Text))]
    pub(crate) output: OutputFormat,
    /// Milliseconds to wait until a change is in force on every live host
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub(crate) wait_ms: u64,
    #[bpaf(external)]
    pub(crate) operator_command: OperatorCommand,
}

/// The command to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum OperatorCommand {
    /// Check a settings file without any service
    #[bpaf(command)]
    Check {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Show how a settings file differs from the settings in force
    #[bpaf(command)]
    Diff {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Put a settings file in force
    #[bpaf(command)]
    Apply {
        /// Make the change only if this revision is in force
        #[bpaf(argument("REVISION"), optional)]
        base: Option<u64>,
        /// Id of the change; after a lost response, repeat the command with it
        #[bpaf(argument("ID"), optional)]
        change_id: Option<String>,
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Show the settings in force, or one branch with the origin of each value
    #[bpaf(command)]
    Show {
        /// Print just the settings file in force
        #[bpaf(long)]
        file: bool,
        /// Branch, such as model/outline
        #[bpaf(positional("BRANCH"), optional)]
        branch: Option<String>,
    },
    /// Give, withdraw and list keys
    #[bpaf(command)]
    Key {
        #[bpaf(external(key_command))]
        command: KeyCommand,
    },
    /// Show the hosts, the revision in force on each, and which host holds
    /// which part of a customer's rate
    #[bpaf(command)]
    Status,
    /// Show where a request would go from a host, and why
    #[bpaf(command)]
    Explain {
        /// Address of the host for health, status and metrics
        #[bpaf(argument("IP:PORT"))]
        host: String,
        /// Customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
        /// Model, as MODEL or MODEL:ADAPTER
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Show who changed what and when
    #[bpaf(command)]
    Audit,
    /// Stop giving new work to a host or runner
    #[bpaf(command)]
    Drain {
        /// Host or runner
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// End the drain of a host or runner
    #[bpaf(command)]
    Resume {
        /// Host or runner
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// The command on keys to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum KeyCommand {
    /// Create a key and print it once
    #[bpaf(command)]
    Give {
        /// Name of the key
        #[bpaf(argument("NAME"))]
        name: String,
        /// Customer that the key belongs to
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Withdraw a key permanently
    #[bpaf(command)]
    Withdraw {
        /// Name or hash of the key
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List the keys in force
    #[bpaf(command)]
    List,
}
