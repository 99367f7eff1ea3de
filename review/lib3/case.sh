# Sourced by run.sh of each case: runs case.py of the case's folder; exits 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/apps/peridot-scheduler ]; then
    echo "target/apps/peridot-scheduler is missing: run the build of the deploy file" >&2
    exit 2
fi
exec python3 "$folder/case.py"
