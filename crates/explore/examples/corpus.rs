//! Converts the stored corpus, one file per target with one hexadecimal input per line, into the folders that
//! a fuzzer works on: `cargo run -p explore --example corpus -- unpack fuzz/corpus`, and back with `pack`.

use std::path::Path;
use std::process::ExitCode;
use std::{fs, io};

fn run(verb: &str, folders: &Path) -> io::Result<()> {
    for (name, _) in explore::TARGETS {
        let folder = folders.join(name);
        match verb {
            "unpack" => {
                fs::create_dir_all(&folder)?;
                for (number, input) in explore::corpus(name)?.iter().enumerate() {
                    fs::write(folder.join(format!("kept-{number:05}")), input)?;
                }
            }
            _ => {
                let mut inputs = Vec::new();
                for file in fs::read_dir(&folder)? {
                    inputs.push(fs::read(file?.path())?);
                }
                inputs.sort();
                inputs.dedup();
                let lines: String = inputs.iter().map(|input| hex::encode(input) + "\n").collect();
                fs::write(explore::corpus_path(name), lines)?;
            }
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match &args[..] {
        [verb, folders] if verb == "pack" || verb == "unpack" => match run(verb, Path::new(folders)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("corpus: {error}");
                ExitCode::FAILURE
            }
        },
        _ => {
            eprintln!("corpus: usage: pack FOLDERS, or unpack FOLDERS");
            ExitCode::from(2)
        }
    }
}
