#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin-3 ] && [ -x target/cicadasilld ] || { echo "not built: review/build-3.sh" >&2; exit 2; }
exec target/standin-3 returned-entry review/14/record.txt
