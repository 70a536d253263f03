//! Runs a stand-in endpoint as a process: `filberthead-standin [--name NAME]
//! [--listen IP:PORT] [--journal FILE] [--script JSON]`.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use filberthead_testing::standin::{Script, Standin};
use lexopt::{Arg, Parser, ValueExt};

struct Options {
    name: String,
    listen: SocketAddr,
    journal: Option<PathBuf>,
    script: Script,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = options(Parser::from_env())?;
    let journal = options.journal.as_deref();
    let standin = Standin::start_process(&options.name, options.listen, journal)?;
    standin.script(|script| *script = options.script);
    println!("ready endpoint={}", standin.addr());
    loop {
        std::thread::park();
    }
}

fn options(mut parser: Parser) -> Result<Options, Box<dyn Error>> {
    let mut options = Options {
        name: "standin".to_owned(),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        journal: None,
        script: Script::default(),
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("name") => options.name = parser.value()?.string()?,
            Arg::Long("listen") => options.listen = parser.value()?.parse()?,
            Arg::Long("journal") => options.journal = Some(parser.value()?.into()),
            Arg::Long("script") => {
                options.script = serde_json::from_str(&parser.value()?.string()?)?;
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}
