//! Runs one stand-in as a separate process and prints its address.

use bpaf::Bpaf;
use celerylead_stand_ins::{
    engine::{EngineOptions, EngineStandIn},
    objects::ObjectStandIn,
    service::ServiceStandIn,
    table::TableStandIn,
};

/// Stand-ins of the systems around celerylead
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum StandInCommand {
    /// Table service
    #[bpaf(command)]
    Table {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
        listen: String,
    },
    /// Object store
    #[bpaf(command)]
    Objects {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
        listen: String,
    },
    /// Plain service
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
        listen: String,
    },
    /// Model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".to_owned()))]
        listen: String,
        /// Tokens per second of a request that runs alone
        #[bpaf(argument("TOKENS"), fallback(100.0))]
        tokens_per_second: f64,
        /// Model that is loaded at the start
        #[bpaf(argument("NAME"))]
        model: Vec<String>,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let address = match stand_in_command().run() {
        StandInCommand::Table { listen } => {
            TableStandIn::start(&listen).await?.address
        }
        StandInCommand::Objects { listen } => {
            ObjectStandIn::start(&listen).await?.address
        }
        StandInCommand::Service { listen } => {
            ServiceStandIn::start(&listen).await?.address
        }
        StandInCommand::Engine { listen, tokens_per_second, model } => {
            let options = EngineOptions {
                tokens_per_second,
                models: model.into_iter().map(|name| (name, 100)).collect(),
                ..EngineOptions::default()
            };
            EngineStandIn::start(&listen, &options).await?.address
        }
    };
    println!("listening={address}");
    std::future::pending().await
}
