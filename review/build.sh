#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies, a Cargo project of its own.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --locked
