#!/bin/bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cicadasilld ] && [ -x target/review-2/standin ] || exit 2
exec timeout -k 5 110 target/review-2/standin gone review/10
