//! The command `scale`; see docs/scale.md.

fn main() -> std::process::ExitCode {
    scale::main()
}
