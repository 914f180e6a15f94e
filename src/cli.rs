//! Command line interface: subcommands, options and their help texts.

use {
    bpaf::Bpaf,
    std::{net::SocketAddr, path::PathBuf, str::FromStr},
    wigeonramp_units::{
        CallerId, CollectionId, ConfigVersion, LeafId, RequestId, ShardId, Span, ZoneId,
    },
};

/// Default timeout of a query.
const DEFAULT_QUERY_TIMEOUT: Span = Span::secs(2);

/// Operates a wigeonramp deployment.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(
    options,
    version,
    footer("Exit codes: 0 done, 1 failed or refused, 2 bad usage or settings, 3 not known yet.")
)]
pub struct Cli {
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

/// Address of a host.
#[derive(Clone, Copy, Debug)]
pub struct Address(pub SocketAddr);

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let expected = "expected an IP address and a port, such as 10.0.0.1:7003";
        text.parse().map(Self).map_err(|_| expected.to_owned())
    }
}

/// Output format of a command.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct Output {
    /// Output format: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    pub format: Format,
}

/// The host that a command talks to.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct Target {
    /// Operator address of any host
    #[bpaf(argument("ADDR"), env("WIGEONRAMP_HOST"))]
    pub host: Address,
}

/// What a plan may cost and where it is written.
#[derive(Bpaf, Clone, Debug)]
pub struct PlanOut {
    /// Allow a plan that leaves shards without a replica in service
    pub allow_coverage_loss: bool,
    /// File for the plan; plan-<id>.json if absent
    #[bpaf(argument("FILE"))]
    pub out: Option<PathBuf>,
}

/// A query as given on the command line.
#[derive(Bpaf, Clone, Debug)]
pub struct QueryArgs {
    /// Collection to ask; may be repeated
    #[bpaf(argument("COLLECTION"), some("expected --collection at least once"))]
    pub collection: Vec<CollectionId>,
    /// Body passed to the upstreams, as JSON
    #[bpaf(argument("JSON"))]
    pub body: String,
    /// Caller id
    #[bpaf(argument("CALLER"))]
    pub caller: CallerId,
    /// The caller's token
    #[bpaf(argument("TOKEN"))]
    pub token: String,
    /// Time the caller waits, such as 500ms or 2s
    #[bpaf(argument("TIME"), fallback(DEFAULT_QUERY_TIMEOUT), display_fallback)]
    pub timeout: Span,
    /// The request is not idempotent; needs --shard
    pub non_idempotent: bool,
    /// The only shard to ask
    #[bpaf(argument("SHARD"))]
    pub shard: Option<ShardId>,
    /// Id of the request, <unix ms>-<random>; generated if absent
    #[bpaf(argument("ID"))]
    pub request_id: Option<RequestId>,
    /// The request with --request-id was sent before; needs --non-idempotent
    pub repeated: bool,
    /// Caller address of the entry host; found through --host if absent
    #[bpaf(argument("ADDR"))]
    pub entry: Option<Address>,
    /// Operator address of any host; needed without --entry
    #[bpaf(argument("ADDR"), env("WIGEONRAMP_HOST"))]
    pub host: Option<Address>,
}

/// Which events to print.
#[derive(Bpaf, Clone, Debug)]
pub struct TimelineArgs {
    /// Events of one request
    #[bpaf(argument("ID"))]
    pub request: Option<RequestId>,
    /// Events of one upstream
    #[bpaf(argument("LEAF"))]
    pub leaf: Option<LeafId>,
    /// Events of one zone
    #[bpaf(argument("ZONE"))]
    pub zone: Option<ZoneId>,
    /// Events under one configuration version
    #[bpaf(argument("VERSION"))]
    pub config_version: Option<ConfigVersion>,
    /// Events of one kind, such as hedge or config_adopted
    #[bpaf(argument("KIND"))]
    pub kind: Option<String>,
    /// Events no older than this, such as 30s or 10min
    #[bpaf(argument("TIME"))]
    pub since: Option<Span>,
}

/// Takes a zone out of service or back into service.
#[derive(Bpaf, Clone, Debug)]
pub enum ZoneCommand {
    /// Plan to take a zone out of service
    #[bpaf(command)]
    Out {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        plan_out: PlanOut,
        /// Zone id
        #[bpaf(positional("ZONE"))]
        zone: ZoneId,
    },
    /// Plan to take a zone back into service
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        plan_out: PlanOut,
        /// Zone id
        #[bpaf(positional("ZONE"))]
        zone: ZoneId,
    },
}

/// Takes an upstream out of service or back into service.
#[derive(Bpaf, Clone, Debug)]
pub enum UpstreamCommand {
    /// Plan to take an upstream out of service
    #[bpaf(command)]
    Out {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        plan_out: PlanOut,
        /// Leaf id, such as quote-desk/07/a
        #[bpaf(positional("LEAF"))]
        leaf: LeafId,
    },
    /// Plan to take an upstream back into service
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        plan_out: PlanOut,
        /// Leaf id, such as quote-desk/07/a
        #[bpaf(positional("LEAF"))]
        leaf: LeafId,
    },
}

/// What to do.
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Check a file with host settings or a deployment; starts nothing
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        output: Output,
        /// TOML file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Plan a declared deployment; changes nothing
    #[bpaf(command)]
    Plan {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        plan_out: PlanOut,
        /// TOML file with a deployment
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Plan a change of a zone; changes nothing
    #[bpaf(command)]
    Zone {
        #[bpaf(external(zone_command))]
        command: ZoneCommand,
    },
    /// Plan a change of an upstream; changes nothing
    #[bpaf(command)]
    Upstream {
        #[bpaf(external(upstream_command))]
        command: UpstreamCommand,
    },
    /// Confirm a plan, which puts it in force
    #[bpaf(command)]
    Confirm {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        /// File with the plan
        #[bpaf(positional("PLANFILE"))]
        file: PathBuf,
    },
    /// Show hosts and upstreams, or whether a plan is in force
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        /// Tell whether this plan is in force
        #[bpaf(argument("PLANFILE"))]
        plan: Option<PathBuf>,
    },
    /// Send a query
    #[bpaf(command)]
    Query {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        query_args: QueryArgs,
    },
    /// Show the events of all hosts in one order
    #[bpaf(command)]
    Timeline {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        timeline_args: TimelineArgs,
    },
    /// Explain one request from the log lines of the hosts
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        output: Output,
        /// Request id that the caller sent
        #[bpaf(positional("ID"))]
        id: String,
        /// Files with log lines of one or more hosts
        #[bpaf(positional("FILE"), some("expected at least one file with log lines"))]
        files: Vec<PathBuf>,
    },
}

impl Command {
    /// Returns the output format of the command.
    pub fn format(&self) -> Format {
        let output = match self {
            Self::Check { output, .. }
            | Self::Plan { output, .. }
            | Self::Confirm { output, .. }
            | Self::Status { output, .. }
            | Self::Explain { output, .. }
            | Self::Query { output, .. }
            | Self::Timeline { output, .. } => output,
            Self::Zone {
                command: ZoneCommand::Out { output, .. } | ZoneCommand::In { output, .. },
            } => output,
            Self::Upstream {
                command: UpstreamCommand::Out { output, .. } | UpstreamCommand::In { output, .. },
            } => output,
        };
        output.format
    }
}
