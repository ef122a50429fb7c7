#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10. No dependencies: nothing is fetched.
cd "$(dirname "$0")/standins-2" && exec cargo build --release --locked --offline
