# Sets PYTHON to an interpreter that has tomllib (3.11 or later).
PYTHON=
for candidate in python3 /usr/bin/python3 python3.11 python3.12 python3.13; do
    if "$candidate" -c 'import tomllib' 2>/dev/null; then
        PYTHON=$candidate
        break
    fi
done
if [ -z "$PYTHON" ]; then
    echo "no Python 3.11 or later" >&2
    exit 2
fi
