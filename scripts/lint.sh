#!/usr/bin/env bash
# lint.sh BUILD_FOLDER [FILE...]: runs clang-tidy on all sources or on the given ones. Skips a source
# whose preprocessed text was clean in an earlier run with the same checks.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=$1
shift
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'apps/*.cpp' \
        'standins/*.cpp' 'bench/*.cpp' 'samples/*.cpp' 'platform/*.cpp')
fi
export LINT_FOLDER=$folder
export LINT_CACHE=${LINT_CACHE:-${HOME:-/tmp}/.cache/peridot-lint}
mkdir -p "$LINT_CACHE"

# Prints the hash of everything that determines the result of clang-tidy for a file.
lint_key() {
    python3 - "$LINT_FOLDER/compile_commands.json" "$1" <<'PYTHON'
import hashlib, json, os, shlex, subprocess, sys
source = os.path.abspath(sys.argv[2])
for entry in json.load(open(sys.argv[1])):
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == source:
        words = [word for word in shlex.split(entry["command"]) if not word.endswith("ccache")]
        words = words[:words.index("-o")] + words[words.index("-o") + 2:]
        words = [word for word in words if word != "-c"] + ["-E"]
        text = subprocess.run(words, cwd=entry["directory"], capture_output=True, check=True).stdout
        checks = open(".clang-tidy", "rb").read()
        version = subprocess.run(["clang-tidy", "--version"], capture_output=True).stdout
        # Comments may contain NOLINT markers, which the preprocessor drops.
        own = open(source, "rb").read()
        print(hashlib.sha256(text + checks + version + own).hexdigest())
PYTHON
}
export -f lint_key

lint_one() {
    local key
    key=$(lint_key "$1")
    if [ -n "$key" ] && [ -e "$LINT_CACHE/$key" ]; then
        return 0
    fi
    clang-tidy -p "$LINT_FOLDER" --quiet "$1" 2>/dev/null || return 1
    [ -z "$key" ] || touch "$LINT_CACHE/$key"
}
export -f lint_one

printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$1"' _ {}
