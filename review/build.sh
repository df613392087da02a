#!/usr/bin/env bash
# The stand-ins of the cases are Python modules, which need no build: this
# checks that they compile, and that the deploy file's build has been run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
[ -x ../target/siskinstage-platform ] || {
  echo "build.sh: target/siskinstage-platform is missing" >&2
  exit 1
}
