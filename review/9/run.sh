#!/bin/sh
# Runs the case, after the build of the deploy file and review/build-2.sh. Exit status: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -f target/petrelplank.jar ] || [ ! -f target/review-2/LateDrainCase.class ]; then
    echo "build the project and review/build-2.sh first" >&2
    exit 2
fi
timeout -k 5 110 java -Xmx512m -cp target/review-2 LateDrainCase "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
